package rollout

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// world is a service in a roll-out: servers of both versions and many nodes that
// choose versions on their own.
type world struct {
	failShare  float64 // failed responses of the target
	slowShare  float64 // responses of the target that take eight times as long
	from       time.Duration
	perSecond  int
	nodes      int
	window     time.Duration
	baseErrors float64 // failed responses of both versions
}

// result is what happened until the deadline.
type result struct {
	state          State
	at             time.Duration
	exposed, total int
	bad            int
}

func (w world) run(seed uint64) result {
	rnd := rand.New(rand.NewPCG(seed, 3))
	bounds := Bounds{Share: 0.1, Extra: 50}
	order := Order{Service: "s", Target: "v2", Window: w.window, Revision: 1}
	trackers := make([]*Tracker, w.nodes)
	for i := range trackers {
		trackers[i] = NewTracker(bounds)
		trackers[i].SetNodes(w.nodes)
		trackers[i].Begin(order, start)
	}
	recorders := map[string]*Recorder{"v1": {}, "v2": {}}
	var out result
	step := time.Second / time.Duration(w.perSecond)
	nextTick := start
	for now := start; now.Sub(start) < w.window; now = now.Add(step) {
		if !now.Before(nextTick) {
			nextTick = nextTick.Add(200 * time.Millisecond)
			for _, r := range recorders {
				if e, ok := r.Take(); ok {
					for _, t := range trackers {
						t.Observe(start, e)
					}
				}
			}
			for _, t := range trackers {
				for _, d := range t.Decide(now) {
					if d.State != Running && out.state == Running {
						out.state, out.at = d.State, now.Sub(start)
					}
				}
			}
			for _, t := range trackers {
				t.SetState("s", 1, out.state, out.state == Completed)
			}
		}
		version := "v1"
		if trackers[rnd.IntN(w.nodes)].Select(now, "s").Preferred("v2") {
			version = "v2"
		}
		out.total++
		took := time.Duration(100+rnd.IntN(100)) * time.Millisecond
		failed := rnd.Float64() < w.baseErrors
		if version == "v2" {
			out.exposed++
			if now.Sub(start) >= w.from {
				if rnd.Float64() < w.failShare {
					failed = true
					out.bad++
				} else if rnd.Float64() < w.slowShare {
					took *= 8
					out.bad++
				}
			}
		}
		recorders[version].Add(order, version, version, "r", failed, took)
	}
	return out
}

// Guards against a bad version that gets more than its share, or is not taken
// back, whenever it turns bad; and a good one that is not completed in time.
func TestReplayRollouts(t *testing.T) {
	bad := map[string]world{
		"fails at once":       {failShare: 0.35, perSecond: 300},
		"slow at once":        {slowShare: 0.35, perSecond: 300},
		"fails late":          {failShare: 0.5, from: 3 * time.Second, perSecond: 300},
		"fails, few requests": {failShare: 0.5, perSecond: 60},
	}
	for name, w := range bad {
		w.nodes, w.window, w.baseErrors = 13, 15*time.Second, 0.002
		for seed := range uint64(10) {
			r := w.run(seed)
			if r.state != RolledBack {
				t.Errorf("%s, seed %d: %s", name, seed, r.state)
			}
			if limit := 0.1*float64(r.total) + 50; float64(r.exposed) > limit {
				t.Errorf("%s, seed %d: %d requests of %d, the bound is %.0f", name, seed, r.exposed, r.total, limit)
			}
		}
	}
	for name, w := range map[string]world{
		"good":              {perSecond: 300},
		"good, few":         {perSecond: 30},
		"both fail equally": {perSecond: 300, baseErrors: 0.1},
	} {
		w.nodes, w.window = 13, 15*time.Second
		for seed := range uint64(10) {
			if r := w.run(seed); r.state != Completed || r.at > w.window {
				t.Errorf("%s, seed %d: %s after %s", name, seed, r.state, r.at)
			}
		}
	}
}

// Guards against a version that gets requests before its order is known.
func TestVersionWithoutOrderWaits(t *testing.T) {
	tr := NewTracker(Bounds{Share: 0.1, Extra: 50})
	tr.RecordVersion(start, "s", "v1")
	later := start.Add(10 * time.Second)
	tr.RecordVersion(later, "s", "v2")
	if tr.Select(later, "s").Preferred("v2") {
		t.Error("the new version gets requests at once")
	}
	if !tr.Select(later.Add(unorderedHold+time.Second), "s").Preferred("v2") {
		t.Error("the new version gets none after the hold")
	}
}

// Guards against evidence that is lost when the node beside a server restarts, and
// a bad version that takes over because of it.
func TestEvidenceSurvivesRestart(t *testing.T) {
	order := Order{Service: "s", Target: "v2", Window: 10 * time.Second, Revision: 1}
	count := func(process uint64, version string, good, failed int) Evidence {
		r := NewRecorder(process)
		for i := range good + failed {
			r.Add(order, version, version, "r", i < failed, 100*time.Millisecond)
		}
		e, _ := r.Take()
		return e
	}
	tr := NewTracker(Bounds{Share: 0.1, Extra: 50})
	tr.Begin(order, start)
	tr.Observe(start, count(1, "v1", 500, 1))
	tr.Observe(start, count(1, "v2", 20, 3))
	if d := tr.Decide(start); len(d) != 1 || d[0].State != Running {
		t.Errorf("three failures: %+v", d)
	}
	if d := tr.Decide(start.Add(order.Window)); d[0].State != Running {
		t.Errorf("a suspect version: %s", d[0].State)
	}
	tr.Observe(start, count(2, "v2", 20, 3)) // the node beside the server was restarted
	if d := tr.Decide(start); len(d) != 1 || d[0].State != RolledBack {
		t.Errorf("six failures, counted by two processes: %+v", d)
	}
	restarted := NewTracker(Bounds{Share: 0.1, Extra: 50})
	restarted.Begin(order, start)
	for _, e := range tr.Evidence(start) {
		restarted.Observe(start, e)
	}
	if d := restarted.Decide(start); d[0].State != RolledBack {
		t.Errorf("with the evidence of a peer: %s", d[0].State)
	}
}

// Guards against a record that a node's own judgement overrides, and a version
// that returns after it was rolled back.
func TestSettle(t *testing.T) {
	tr := NewTracker(Bounds{Share: 0.1, Extra: 50})
	tr.Begin(Order{Service: "s", Target: "v2", Window: time.Second, Revision: 5}, start)
	if !tr.SetState("s", 5, RolledBack, false) || tr.Select(start, "s").Fallback != nil {
		t.Error("the version is still used")
	}
	if !tr.SetState("s", 5, Completed, true) || !tr.Select(start, "s").Preferred("v2") {
		t.Error("the record does not bind")
	}
	if tr.SetState("s", 5, RolledBack, false) {
		t.Error("a judgement overrides the record")
	}
	if tr.Begin(Order{Service: "s", Target: "v3", Revision: 4}, start) {
		t.Error("an older order replaces a newer one")
	}
}

// Guards against a restarted node that completes a roll-out early or keeps a start of
// its own: it learns the age of the order from its peers and from no wall clock.
func TestRestartedNodeLearnsStart(t *testing.T) {
	order := Order{Service: "s", Target: "v2", Window: 15 * time.Second, Revision: 31}
	peer, restarted := NewTracker(Bounds{}), NewTracker(Bounds{})
	peer.Begin(order, start)
	now := start.Add(9 * time.Second)
	restarted.Begin(order, now)
	if d := restarted.Decide(now); d[0].Started != now {
		t.Errorf("started %v without a word of a peer", d[0].Started)
	}
	for _, e := range peer.Evidence(now) {
		restarted.Observe(now, e)
	}
	if d := restarted.Decide(now); !d[0].Started.Equal(start) {
		t.Errorf("started %v, want %v", d[0].Started, start)
	}
}
