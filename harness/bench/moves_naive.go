package bench

import (
	"time"

	"corianderwood.example/corianderwood/pkg/move"
)

const (
	naiveMemory  = 60 * time.Second
	naiveCalls   = 50
	naiveWarmUp  = 30 * time.Second
	naiveFailing = 0.05
	naiveSlow    = 0.10
)

// naiveDecider takes a version back when its raw rate of failures or slow answers
// on a route over the last minute passes a fixed threshold, after a warm-up. It raises the steps by
// the schedule. It is the baseline that the suite compares with.
type naiveDecider struct {
	plan   move.Plan
	mark   move.State
	recent map[string][]naiveSample // by route
}

type naiveSample struct {
	at           time.Time
	failed, slow bool
}

func newNaiveDecider(plan move.Plan) *naiveDecider {
	return &naiveDecider{plan: plan, mark: move.State{Move: plan.ID}, recent: map[string][]naiveSample{}}
}

// observed sees every answer of the new version at once, without loss.
func (n *naiveDecider) observed(now time.Time, route string, failed, slow bool) {
	if now.Sub(n.plan.AcceptedAt) < naiveWarmUp {
		return
	}
	n.recent[route] = append(n.recent[route], naiveSample{now, failed, slow})
}

func (n *naiveDecider) decide(now time.Time) move.State {
	for route, samples := range n.recent {
		for len(samples) > 0 && now.Sub(samples[0].at) > naiveMemory {
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
		if calls >= naiveCalls && (failed/calls > naiveFailing || slow/calls > naiveSlow) {
			n.mark.RolledBack = true
		}
	}
	n.mark.Stage = max(n.mark.Stage, move.StageWithoutHold(n.plan, now))
	n.mark.Done = n.mark.Done || !now.Before(n.plan.AcceptedAt.Add(n.plan.FinishBy.Sub(n.plan.AcceptedAt)*9/10))
	return n.mark
}
