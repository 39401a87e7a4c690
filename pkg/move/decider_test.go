package move

import (
	"testing"
	"time"
)

// scenario runs a decider over the plan's window, with one decision per second and
// evidence from one node. The traffic function returns the counts of each second.
type scenario struct {
	plan    Plan
	decider *Decider
	report  Report
	traffic func(at float64, stage uint8) map[string]Pair
	// beforeDecide, if set, is called before each decision.
	beforeDecide func(d *Decider, now time.Time, at float64)
	last         Decision
}

func newScenario(traffic func(at float64, stage uint8) map[string]Pair) *scenario {
	p := testPlan()
	return &scenario{
		plan: p, traffic: traffic,
		decider: NewDecider(p, DeciderOptions{Self: "d1", Routes: []string{"a", "b"}}),
		report:  Report{Move: p.ID, Instance: "i1", Incarnation: 1},
	}
}

// until runs from one fraction of the window to another, or to the first outcome, and
// returns the fraction reached.
func (d *scenario) until(from, to float64) float64 {
	for now := d.plan.at(from); now.Before(d.plan.at(to)); now = now.Add(time.Second) {
		at := float64(now.Sub(d.plan.AcceptedAt)) / float64(d.plan.window())
		d.step(now, at)
		if d.last.Outcome != nil {
			return at
		}
	}
	return to
}

func (d *scenario) step(now time.Time, at float64) {
	stage := Stage(d.plan, d.last.State, now)
	bucket := Bucket{Start: now.Unix(), Stage: stage, Routes: d.traffic(at, stage)}
	d.report = d.report.Merge(Report{Move: d.plan.ID, Instance: "i1", Incarnation: 1, Buckets: []Bucket{bucket}})
	if err := d.decider.Merge(d.report); err != nil {
		panic(err)
	}
	if d.beforeDecide != nil {
		d.beforeDecide(d.decider, now, at)
	}
	d.last = d.decider.Decide(now)
}

// calls returns 1000 calls, split by the share of the stage, with the given numbers of
// failed and slow responses per thousand calls.
func calls(stage uint8, oldFailed, newFailed, oldSlow, newSlow uint64) Pair {
	n := uint64(1000 * steps[stage])
	return Pair{
		Old: Counts{1000 - n, (1000 - n) * oldFailed / 1000, (1000 - n) * oldSlow / 1000},
		New: Counts{n, n * newFailed / 1000, n * newSlow / 1000},
	}
}

func steady(oldFailed, newFailed, oldSlow, newSlow uint64) func(float64, uint8) map[string]Pair {
	return func(_ float64, stage uint8) map[string]Pair {
		return map[string]Pair{"a": calls(stage, oldFailed, newFailed, oldSlow, newSlow)}
	}
}

// TestDeciderOutcome guards against a bad version that is not rolled back, a good
// version that is rolled back, and an outcome at the wrong time.
func TestDeciderOutcome(t *testing.T) {
	upstreams := func(from, to int) func(*Decider, time.Time, float64) {
		return func(d *Decider, now time.Time, _ float64) { d.SetUpstreams(now, from, to) }
	}
	tests := []struct {
		name           string
		traffic        func(float64, uint8) map[string]Pair
		each           func(*Decider, time.Time, float64)
		result, reason string
		earliest       float64
		latest         float64
	}{
		{"good", steady(20, 20, 20, 20), nil, ResultDone, "", 0.90, 0.901},
		{"no traffic", func(float64, uint8) map[string]Pair { return nil }, nil, ResultDone, "", 0.90, 0.901},
		{"fails", steady(20, 500, 20, 20), nil, ResultRolledBack, ReasonFailures, 0, 0.01},
		{"slow", steady(20, 20, 20, 500), nil, ResultRolledBack, ReasonSlow, 0, 0.02},
		{"both fail alike", steady(400, 400, 20, 20), nil, ResultDone, "", 0.90, 0.901},
		{"fails late", func(at float64, stage uint8) map[string]Pair {
			if at < 0.8 {
				return steady(20, 20, 0, 0)(at, stage)
			}
			return steady(20, 300, 0, 0)(at, stage)
		}, nil, ResultRolledBack, ReasonFailures, 0.8, 0.805},
		{"fails under load", func(at float64, stage uint8) map[string]Pair {
			if stage < 3 {
				return steady(20, 20, 0, 0)(at, stage)
			}
			return steady(20, 300, 0, 0)(at, stage)
		}, nil, ResultRolledBack, ReasonFailures, 0.45, 0.46},
		{"one burst", func(at float64, stage uint8) map[string]Pair {
			if stage == 3 && at < 0.45+2.5/3600 {
				return steady(20, 300, 0, 0)(at, stage)
			}
			return steady(20, 20, 0, 0)(at, stage)
		}, upstreams(3, 3), ResultDone, "", 0.90, 0.97},
		{"fails with no control left", func(at float64, stage uint8) map[string]Pair {
			if at < 0.7 {
				return steady(20, 20, 0, 0)(at, stage)
			}
			return nil
		}, func(d *Decider, now time.Time, at float64) {
			// No upstream of the old version is left from 70% of the window on.
			if at >= 0.7 {
				_ = d.Merge(Report{Move: "m1", Instance: "i2", Buckets: []Bucket{{
					Start: now.Unix(), Stage: fullStage, Routes: map[string]Pair{"a": {New: Counts{100, 95, 0}}},
				}}})
			}
		}, ResultRolledBack, ReasonFailures, 0.7, 0.71},
		{"no upstream", steady(0, 0, 0, 0), upstreams(3, 0), ResultRolledBack, ReasonNoUpstream, 0.25, 0.251},
		{"no upstream in a partition", steady(0, 0, 0, 0), upstreams(0, 0), ResultDone, "", 0.90, 0.901},
		{"upstreams vanish", steady(0, 0, 0, 0), func(d *Decider, now time.Time, at float64) {
			to := 3
			if at > 0.6 {
				to = 0
			}
			d.SetUpstreams(now, 3, to)
		}, ResultRolledBack, ReasonNoUpstream, 0.6, 0.61},
		{"withdrawn", steady(0, 0, 0, 0), func(d *Decider, now time.Time, at float64) {
			p := testPlan()
			p.Withdraw = at > 0.5
			d.SetPlan(now, p)
		}, ResultRolledBack, ReasonWithdrawn, 0.5, 0.501},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newScenario(tt.traffic)
			d.beforeDecide = tt.each
			at := d.until(0, 1)
			o := d.last.Outcome
			if o == nil || o.Result != tt.result || o.Reason != tt.reason {
				t.Fatalf("outcome %+v at %g, want %s %s", o, at, tt.result, tt.reason)
			}
			if at < tt.earliest || at > tt.latest {
				t.Errorf("decided at %g of the window, want %g to %g", at, tt.earliest, tt.latest)
			}
		})
	}
}

// TestDeciderBakeTime guards against a stage that is raised before its bake time has
// passed.
func TestDeciderBakeTime(t *testing.T) {
	d := newScenario(steady(20, 20, 20, 20))
	d.beforeDecide = func(_ *Decider, now time.Time, at float64) {
		if stage, paced := d.last.State.Stage, StageWithoutHold(d.plan, now); stage > paced {
			t.Fatalf("stage %d at %g, want at most %d", stage, at, paced)
		}
	}
	d.until(0, 0.66)
	if d.last.State.Stage != controlStage {
		t.Errorf("stage %d at 66%% of the window, want %d", d.last.State.Stage, controlStage)
	}
}

// TestDeciderHoldsStage guards against a stage that is raised despite suspicious
// evidence, and against a delay by such evidence that makes the move miss its deadline.
func TestDeciderHoldsStage(t *testing.T) {
	d := newScenario(steady(0, 0, 0, 0))
	d.beforeDecide = func(d *Decider, _ time.Time, _ float64) {
		for i := range d.routes["a"].detectors[failure].sums {
			d.routes["a"].detectors[failure].sums[i] = 10 * suspiciousLevel(d)
		}
	}
	d.until(0, 0.14)
	if !d.last.Holding || d.last.State.Stage != 0 {
		t.Errorf("holding %v at stage %d before the schedule, want true at 0", d.last.Holding, d.last.State.Stage)
	}
	at := d.until(0.14, 1)
	if o := d.last.Outcome; o == nil || o.Result != ResultDone || at < suspiciousDoneAt || at > 0.97 {
		t.Errorf("outcome %+v at %g, want done at %g", o, at, suspiciousDoneAt)
	}
}

// suspiciousLevel returns the least suspicious e-value on route a.
func suspiciousLevel(d *Decider) float64 { return sqrtThreshold(d.routes["a"]) }

// TestDeciderAfterPause guards against a decider that finishes a move or raises its
// stage right after a pause, while its move state and evidence are out of date.
func TestDeciderAfterPause(t *testing.T) {
	d := newScenario(steady(0, 0, 0, 0))
	d.until(0, 0.11)
	d.step(d.plan.at(0.95), 0.95)
	if d.last.Outcome != nil {
		t.Errorf("outcome %+v right after the pause", d.last.Outcome)
	}
	d.decider.MergeState(State{Move: "m1", RolledBack: true, Reason: ReasonSlow})
	d.step(d.plan.at(0.951), 0.951)
	if o := d.last.Outcome; o == nil || o.Result != ResultRolledBack || o.Reason != ReasonSlow {
		t.Errorf("outcome %+v after the state arrived, want rolled back", o)
	}
}

// TestDeciderRecordOverridesState guards against a move state that overrides the
// recorded outcome, and against an outcome that is written again after it is known.
func TestDeciderRecordOverridesState(t *testing.T) {
	d := newScenario(steady(20, 500, 0, 0))
	d.until(0, 1)
	d.decider.SetOutcome(Outcome{Move: "m1", Result: ResultDone})
	d.decider.SetOutcome(Outcome{Move: "m1", Result: ResultRolledBack})
	if got := d.decider.Decide(d.plan.at(0.95)); got.Outcome != nil || !got.State.Done {
		t.Errorf("decision %+v after the record, want only the state of done", got)
	}
}

// TestDeciderCountsOnce guards against evidence that is counted twice because copies of
// a report are repeated, late or out of order.
func TestDeciderCountsOnce(t *testing.T) {
	d := NewDecider(testPlan(), DeciderOptions{Self: "d1"})
	var copies []Report
	report := Report{Move: "m1", Instance: "i1"}
	for i := range int64(40) {
		report = report.Merge(Report{Move: "m1", Instance: "i1", Buckets: []Bucket{
			{Start: i / 2, Routes: map[string]Pair{"a": {New: Counts{Calls: uint64(1 + i%2)}}}},
		}})
		copies = append(copies, report)
	}
	for _, i := range []int{0, 39, 3, 20, 39, 38, 0, 30, 39} {
		if err := d.Merge(copies[i]); err != nil {
			t.Fatal(err)
		}
	}
	// Bucket 0 and the newest 16 buckets hold 2 calls each; the first copy of bucket 0
	// had 1.
	if got := d.routes["a"].total.New.Calls; got != 1+2*maxBuckets {
		t.Errorf("merged %d calls, want %d", got, 1+2*maxBuckets)
	}
	if err := d.Merge(Report{Move: "m1"}); err == nil {
		t.Error("a report without instance was merged")
	}
}
