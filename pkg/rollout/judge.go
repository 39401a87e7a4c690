package rollout

import "math"

// Verdict is the reason why a version is bad; empty if it is not.
type Verdict string

// Verdicts on a version.
const (
	Failing Verdict = "failing"
	Slow    Verdict = "slow"
)

// threshold is the evidence that a verdict requires.
type threshold struct {
	// minCount is the minimum number of failed or slow responses.
	minCount uint32
	// deviations is the number of standard deviations by which they must exceed the
	// expected number.
	deviations float64
	// chance is the probability that versions that don't differ give as many, below which the
	// difference counts. It matters only where the other versions gave few responses.
	chance float64
}

// rollbackThreshold causes a rollback; suspectThreshold prevents the takeover.
var (
	rollbackThreshold = threshold{minFailures, minDeviation, rollbackChance}
	suspectThreshold  = threshold{suspectFailures, suspectDeviation, doubtfulChance}
)

// Judge compares the routes of the target version with those of the other versions in
// the same period. It returns the verdict and the route that caused it.
func Judge(target, others map[string]RouteEvidence, required threshold) (Verdict, string) {
	for route, t := range target {
		o := others[route]
		if required.exceeded(t.Failed, t.Total, toleratedFailures, o.Failed, o.Total) {
			return Failing, route
		}
		succeeded, controlSucceeded := t.Total-t.Failed, o.Total-o.Failed
		limit := o.slowLimit()
		if limit < 0 {
			continue
		}
		if required.exceeded(t.countSlower(limit), succeeded, toleratedSlow, o.countSlower(limit), controlSucceeded) {
			return Slow, route
		}
	}
	return "", ""
}

// exceeded reports whether bad of n responses significantly exceed both the tolerated
// share and the share among the control responses.
func (t threshold) exceeded(bad, n uint32, tolerated float64, controlBad, controlN uint32) bool {
	if bad < t.minCount {
		return false
	}
	share := tolerated
	if controlN > 0 {
		share = max(share, controlFactor*float64(controlBad)/float64(controlN))
	}
	if share >= 1 {
		return false
	}
	expected := float64(n) * share
	if (float64(bad)-expected)/math.Sqrt(expected*(1-share)) <= t.deviations {
		return false
	}
	return controlN == 0 || chance(bad, n, controlBad, controlN) < t.chance
}
