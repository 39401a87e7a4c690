package bench

import (
	"corianderwood.example/corianderwood/pkg/move"
)

// moveTotals counts the moves of all cases: good ones and false alarms among them, bad
// ones and those whose fault was detected.
type moveTotals struct {
	good, falseAlarms, bad, detected int
}

func (t *moveTotals) add(c moveCase, results []moveResult) {
	for _, r := range results {
		switch {
		case !c.bad:
			t.good++
			if r.rolledBack {
				t.falseAlarms++
			}
		default:
			t.bad++
			if r.detected() {
				t.detected++
			}
		}
	}
}

func (t *moveTotals) detectedRatio() float64   { return float64(t.detected) / float64(t.bad) }
func (t *moveTotals) falseAlarmRatio() float64 { return float64(t.falseAlarms) / float64(t.good) }

// moveRows returns the rows of one case.
func moveRows(c moveCase, naive bool, results []moveResult) []Row {
	prefix := "moves_" + c.name
	if naive {
		prefix += "_naive"
	}
	if !c.bad {
		return goodRows(prefix, naive, results)
	}
	return badRows(prefix, results)
}

// goodRows returns the ratios of false alarms and of moves completed in time. Their
// bounds follow from the stated false-alarm rate; the rows of the baseline have no bounds.
func goodRows(prefix string, naive bool, results []moveResult) []Row {
	rolledBack, done, n := 0.0, 0.0, float64(len(results))
	for _, r := range results {
		if r.rolledBack {
			rolledBack++
		}
		if r.done {
			done++
		}
	}
	if naive {
		return []Row{
			Unbounded(prefix+"_false_alarms", rolledBack/n, "ratio"),
			Unbounded(prefix+"_completed_in_time", done/n, "ratio"),
		}
	}
	return []Row{
		AtMost(prefix+"_false_alarms", rolledBack/n, "ratio", move.DefaultFalseAlarmRate),
		AtLeast(prefix+"_completed_in_time", done/n, "ratio", 1-move.DefaultFalseAlarmRate),
	}
}

// badRows returns the ratio of moves rolled back after the first sign of the fault, and
// the calls and the time until then.
func badRows(prefix string, results []moveResult) []Row {
	var rolledBack, early, exposed, bad float64
	var delays, calls []float64
	for _, r := range results {
		exposed += float64(r.newCalls)
		bad += float64(r.badCalls)
		if r.rolledBack && !r.detected() {
			early++
		}
		if r.detected() {
			rolledBack++
			delays = append(delays, r.detectionDelay.Seconds())
			calls = append(calls, float64(r.newCalls))
		}
	}
	n := float64(len(results))
	return []Row{
		Unbounded(prefix+"_taken_back", rolledBack/n, "ratio"),
		Unbounded(prefix+"_taken_back_before_fault", early/n, "ratio"),
		Unbounded(prefix+"_calls_before_take_back_p50", quantile(calls, 0.5), "calls"),
		Unbounded(prefix+"_calls_before_take_back_mean", exposed/n, "calls"),
		Unbounded(prefix+"_bad_answers_mean", bad/n, "calls"),
		Unbounded(prefix+"_seconds_to_take_back_p50", quantile(delays, 0.5), "s"),
		Unbounded(prefix+"_seconds_to_take_back_p90", quantile(delays, 0.9), "s"),
	}
}
