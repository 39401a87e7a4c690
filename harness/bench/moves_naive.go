package bench

import (
	"time"

	"corianderwood.example/corianderwood/pkg/move"
)

const (
	naiveWindow    = 60 * time.Second
	naiveMinCalls  = 50
	naiveWarmUp    = 30 * time.Second
	naiveMaxFailed = 0.05
	naiveMaxSlow   = 0.10
)

// naiveDecider is the baseline that the suite compares with. After a warm-up it rolls a
// version back when its raw rate of failed or slow responses on a route within
// naiveWindow exceeds a fixed threshold. It raises the stages as a decider does that is
// never delayed by suspicious evidence, and completes the move after nine tenths of its
// window.
type naiveDecider struct {
	plan   move.Plan
	state  move.State
	recent map[string][]naiveSample // by route
}

// naiveSample is one response of the new version.
type naiveSample struct {
	at           time.Time
	failed, slow bool
}

func newNaiveDecider(plan move.Plan) *naiveDecider {
	return &naiveDecider{plan: plan, state: move.State{Move: plan.ID}, recent: map[string][]naiveSample{}}
}

// observe records a response of the new version, without delay or loss.
func (n *naiveDecider) observe(now time.Time, route string, failed, slow bool) {
	if now.Sub(n.plan.AcceptedAt) < naiveWarmUp {
		return
	}
	n.recent[route] = append(n.recent[route], naiveSample{now, failed, slow})
}

// decide returns the move state at now.
func (n *naiveDecider) decide(now time.Time) move.State {
	for route, samples := range n.recent {
		for len(samples) > 0 && now.Sub(samples[0].at) > naiveWindow {
			samples = samples[1:]
		}
		n.recent[route] = samples
		failed, slow := 0.0, 0.0
		for _, s := range samples {
			if s.failed {
				failed++
			}
			if s.slow {
				slow++
			}
		}
		calls := float64(len(samples))
		if calls >= naiveMinCalls && (failed/calls > naiveMaxFailed || slow/calls > naiveMaxSlow) {
			n.state.RolledBack = true
		}
	}
	n.state.Stage = max(n.state.Stage, move.StageWithoutHold(n.plan, now))
	n.state.Done = n.state.Done || !now.Before(n.plan.AcceptedAt.Add(n.plan.FinishBy.Sub(n.plan.AcceptedAt)*9/10))
	return n.state
}
