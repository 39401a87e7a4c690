package move

import (
	"math"
	"time"
)

// routeTest holds the evidence and the tests of one route. It is owned by the decider's
// goroutine.
type routeTest struct {
	name string
	// threshold is the e-value that justifies a rollback.
	threshold float64
	// pending holds the counts that have not been tested yet, by stage.
	pending [len(steps)]Pair
	// since is the time of the first update that found pending counts, by stage.
	since [len(steps)]time.Time
	// recent holds the old version's counts since the last update.
	recent Counts
	// total holds all merged counts; those of the old version are the baseline.
	total Pair

	detectors [len(kinds)]detector
	baselines [len(kinds)]baseline
}

// logCap returns the largest amount that one test update may add to the log of an
// e-value of the kind: the log of the threshold divided by the number of updates that a
// rollback needs, times the update intervals in lasted, the time that the tested calls
// were pending. c holds the counts and upstreams the number of upstreams of the new
// version. gross means that one of several upstreams cannot account for all bad calls.
func (r *routeTest) logCap(k kind, stage int, c Counts, upstreams int, lasted time.Duration) float64 {
	gross := upstreams > 1 && c.Calls >= grossCalls &&
		float64(c.bad(k)) >= (grossFactor/float64(upstreams)+grossMargin)*float64(c.Calls)
	updates := 0.0
	switch {
	case k == slow && stage < earlyStages:
		updates = earlySlowUpdates
	case k == slow && gross:
		updates = grossSlowUpdates
	case k == slow:
		updates = slowUpdates
	case gross:
		updates = grossFailureUpdates
	default:
		updates = failureUpdates
	}
	return math.Log(r.threshold) / updates * max(1, float64(lasted/updateInterval))
}

// add adds counts that were merged for the first time.
func (r *routeTest) add(stage uint8, pair Pair) {
	r.pending[stage] = r.pending[stage].add(pair)
	r.total = r.total.add(pair)
	r.recent = r.recent.add(pair.Old)
}

// update tests the pending counts. A block is closed by its total number of calls,
// regardless of their version and result: if it were closed by a call to the rarer
// version, it would always end with one, which would bias the test. A block of an
// earlier stage is closed whatever its size.
func (r *routeTest) update(now time.Time, window time.Duration, v updateContext) {
	for stage, pair := range r.pending {
		calls := float64(pair.Old.Calls + pair.New.Calls)
		if calls == 0 || stage == fullStage {
			continue
		}
		if r.since[stage].IsZero() {
			r.since[stage] = now
		}
		smaller := calls * min(steps[stage], 1-steps[stage])
		if smaller < blockCalls && stage >= int(v.stage) {
			continue
		}
		lasted := now.Sub(r.since[stage])
		for _, k := range kinds {
			r.detectors[k].update(now, window, block{
				newCalls: pair.New.Calls, newBad: pair.New.bad(k),
				oldCalls: pair.Old.Calls, oldBad: pair.Old.bad(k),
			}, r.logCap(k, stage, pair.New, v.upstreams, lasted))
		}
		r.pending[stage], r.since[stage] = Pair{}, time.Time{}
	}
	full := r.pending[fullStage].New
	r.pending[fullStage] = Pair{}
	r.recent = Counts{}
	if full.Calls > 0 && !v.incident {
		r.updateBaseline(now, window, full, v)
	}
}

// updateBaseline tests new calls against the earlier calls of the old version. Calls
// during an incident of the old version are left out: the new version may be affected
// by the same cause.
func (r *routeTest) updateBaseline(now time.Time, window time.Duration, c Counts, v updateContext) {
	for _, k := range kinds {
		if rate, ok := toleratedRate(r.total.Old, k); ok {
			r.baselines[k].update(now, window, c.Calls, c.bad(k), rate, r.logCap(k, fullStage, c, v.upstreams, 0))
		}
	}
}

// evidence returns the e-value of the kind: the larger one of the two tests, scaled to
// the threshold of the concurrent test.
func (r *routeTest) evidence(k kind) float64 {
	return max(r.detectors[k].value(), r.baselines[k].value()*baselineFraction/concurrentFraction)
}

// conclusive reports whether the evidence of the kind justifies a rollback.
func (r *routeTest) conclusive(k kind) bool {
	return r.evidence(k) >= r.threshold && r.total.New.Calls >= minNewCalls && r.total.New.bad(k) >= minBadCalls
}

// suspicious reports whether the evidence has reached half of the rollback threshold on
// the log scale.
func (r *routeTest) suspicious() bool {
	limit := math.Sqrt(r.threshold)
	return r.evidence(failure) >= limit || r.evidence(slow) >= limit
}

func (r *routeTest) record() RouteEvidence {
	return RouteEvidence{
		Route: r.name, Old: r.total.Old, New: r.total.New,
		FailureE: r.evidence(failure), SlowE: r.evidence(slow),
	}
}

// updateContext is the input of a test update besides the evidence of the route.
type updateContext struct {
	stage    uint8 // current stage of the move
	incident bool  // the old version currently has an incident
	// upstreams is the number of upstreams of the new version, 0 if unknown.
	upstreams int
}
