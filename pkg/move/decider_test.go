package move

import (
	"testing"
	"time"
)

// drive runs a decider over the plan, one decision per second, with evidence of
// one node: at each second the traffic function returns the counts of the second.
type drive struct {
	plan    Plan
	decider *Decider
	part    Report
	traffic func(at float64, stage uint8) map[string]Pair
	// each is called before the decision at each second, if set.
	each func(d *Decider, now time.Time, at float64)
	last Decision
}

func newDrive(traffic func(at float64, stage uint8) map[string]Pair) *drive {
	p := testPlan()
	return &drive{
		plan: p, traffic: traffic,
		decider: NewDecider(p, DeciderOptions{Self: "d1", Routes: []string{"a", "b"}}),
		part:    Report{Move: p.ID, Instance: "i1", Incarnation: 1},
	}
}

// until runs to the given fraction of the window, or to the first outcome, and
// returns the fraction reached.
func (d *drive) until(from, to float64) float64 {
	for now := d.plan.at(from); now.Before(d.plan.at(to)); now = now.Add(time.Second) {
		at := float64(now.Sub(d.plan.AcceptedAt)) / float64(d.plan.window())
		d.step(now, at)
		if d.last.Outcome != nil {
			return at
		}
	}
	return to
}

func (d *drive) step(now time.Time, at float64) {
	stage := Stage(d.plan, d.last.State, now)
	bucket := Bucket{Start: now.Unix(), Stage: stage, Routes: d.traffic(at, stage)}
	d.part = d.part.Merge(Report{Move: d.plan.ID, Instance: "i1", Incarnation: 1, Buckets: []Bucket{bucket}})
	if err := d.decider.Merge(d.part); err != nil {
		panic(err)
	}
	if d.each != nil {
		d.each(d.decider, now, at)
	}
	d.last = d.decider.Decide(now)
}

// calls returns 1000 calls at the share of the stage with the given parts per
// thousand of failures and slow answers.
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

// TestDeciderOutcome guards against bad versions that stay, good versions that are
// taken back, and outcomes at the wrong time.
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
			// Every upstream of the old version is gone at 70% of the window.
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
			d := newDrive(tt.traffic)
			d.each = tt.each
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

// TestDeciderPace guards against stages that are raised before their bake time.
func TestDeciderPace(t *testing.T) {
	d := newDrive(steady(20, 20, 20, 20))
	d.each = func(_ *Decider, now time.Time, at float64) {
		if stage, paced := d.last.State.Stage, StageWithoutHold(d.plan, now); stage > paced {
			t.Fatalf("stage %d at %g, want at most %d", stage, at, paced)
		}
	}
	d.until(0, 0.66)
	if d.last.State.Stage != controlStage {
		t.Errorf("stage %d at 66%% of the window, want %d", d.last.State.Stage, controlStage)
	}
}

// TestDeciderHoldsBack guards against a stage that is raised on suspicious evidence
// and against a hold-back that makes the move miss its deadline.
func TestDeciderHoldsBack(t *testing.T) {
	d := newDrive(steady(0, 0, 0, 0))
	d.each = func(d *Decider, _ time.Time, _ float64) {
		for i := range d.routes["a"].detectors[failure].sums {
			d.routes["a"].detectors[failure].sums[i] = 10 * suspicion(d)
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

// suspicion returns the least suspicious e-value on route a.
func suspicion(d *Decider) float64 { return sqrtThreshold(d.routes["a"]) }

// TestDeciderAfterPause guards against a decider that finishes or raises a move
// right after a pause, before marks and evidence have caught up.
func TestDeciderAfterPause(t *testing.T) {
	d := newDrive(steady(0, 0, 0, 0))
	d.until(0, 0.11)
	d.step(d.plan.at(0.95), 0.95)
	if d.last.Outcome != nil {
		t.Errorf("outcome %+v right after the pause", d.last.Outcome)
	}
	d.decider.MergeState(State{Move: "m1", RolledBack: true, Reason: ReasonSlow})
	d.step(d.plan.at(0.951), 0.951)
	if o := d.last.Outcome; o == nil || o.Result != ResultRolledBack || o.Reason != ReasonSlow {
		t.Errorf("outcome %+v after the mark arrived, want taken back", o)
	}
}

// TestDeciderRecordWins guards against marks that override the record, and against
// an outcome that is written again after it is known.
func TestDeciderRecordWins(t *testing.T) {
	d := newDrive(steady(20, 500, 0, 0))
	d.until(0, 1)
	d.decider.SetOutcome(Outcome{Move: "m1", Result: ResultDone})
	d.decider.SetOutcome(Outcome{Move: "m1", Result: ResultRolledBack})
	if got := d.decider.Decide(d.plan.at(0.95)); got.Outcome != nil || !got.State.Done {
		t.Errorf("decision %+v after the record, want the mark of done only", got)
	}
}

// TestDeciderCountsOnce guards against evidence that counts twice when copies are
// repeated, late or out of order.
func TestDeciderCountsOnce(t *testing.T) {
	d := NewDecider(testPlan(), DeciderOptions{Self: "d1"})
	var copies []Report
	part := Report{Move: "m1", Instance: "i1"}
	for i := range int64(40) {
		part = part.Merge(Report{Move: "m1", Instance: "i1", Buckets: []Bucket{
			{Start: i / 2, Routes: map[string]Pair{"a": {New: Counts{Calls: uint64(1 + i%2)}}}},
		}})
		copies = append(copies, part)
	}
	for _, i := range []int{0, 39, 3, 20, 39, 38, 0, 30, 39} {
		if err := d.Merge(copies[i]); err != nil {
			t.Fatal(err)
		}
	}
	// Bucket 0 and the newest 16 buckets hold 2 calls each; bucket 0 came with 1.
	if got := d.routes["a"].total.New.Calls; got != 1+2*maxBuckets {
		t.Errorf("merged %d calls, want %d", got, 1+2*maxBuckets)
	}
	if err := d.Merge(Report{Move: "m1"}); err == nil {
		t.Error("a part without instance was merged")
	}
}
