package rollout

import "math"

// routeAssessment is what the evidence says of the target on one route.
type routeAssessment struct {
	// responses and all count the target's responses and those of all versions.
	responses, all uint32
	// failing and slow are the log-likelihood ratios of a version that must not take over and
	// a good one, by the failed and by the slow responses; minus infinity if these can't tell.
	failing, slow float64
	failed        uint32
	// equal means that both gave enough responses and the target's are no worse. chance is the
	// probability of as many failures of the target if the versions don't differ.
	equal  bool
	chance float64
}

// assess compares the target with the other versions on one route.
func assess(target, others RouteEvidence) routeAssessment {
	a := routeAssessment{
		responses: target.Total, all: target.Total + others.Total, failed: target.Failed,
		equal:   noWorse(target.Failed, target.Total, others.Failed, others.Total),
		chance:  chance(target.Failed, target.Total, others.Failed, others.Total),
		slow:    math.Inf(-1),
		failing: logRatio(target.Failed, target.Total, toleratedFailures, others.Failed, others.Total),
	}
	if limit := others.slowLimit(); limit >= 0 {
		succeeded, controlSucceeded := target.Total-target.Failed, others.Total-others.Failed
		a.slow = logRatio(target.countSlower(limit), succeeded, toleratedSlow, others.countSlower(limit), controlSucceeded)
		a.equal = a.equal && noWorse(target.countSlower(limit), succeeded, others.countSlower(limit), controlSucceeded)
	}
	return a
}

// noWorse reports whether both versions gave enough responses and the target's share of bad
// ones is not above that of the others. With evidenceGoal responses or more it may be above by
// one of them.
func noWorse(bad, n, controlBad, controlN uint32) bool {
	const enough = enoughResponses / 2
	if n >= evidenceGoal && bad > 0 {
		bad--
	}
	return n >= enough && controlN >= enough && uint64(bad)*uint64(controlN) <= uint64(controlBad)*uint64(n)
}

// logRatio returns the logarithm of how much more likely bad of n responses are for a version
// with the share badShare than for one with the expected share. It is minus infinity if the
// control responses are so bad that the two can't be told apart.
func logRatio(bad, n uint32, tolerated float64, controlBad, controlN uint32) float64 {
	expected := max(tolerated, controlFactor*float64(controlBad)/float64(controlN+controlPrior))
	share := max(badShare, expected+badMargin)
	if share >= 1 {
		return math.Inf(-1)
	}
	return float64(bad)*math.Log(share/expected) + float64(n-bad)*math.Log((1-share)/(1-expected))
}

// cleared reports whether the responses rule out a version that must not take over.
func (a routeAssessment) cleared() bool {
	return a.equal || max(a.failing, a.slow) <= math.Log(acceptRatio)
}

// blocks reports whether the route keeps the version from taking over: what is known speaks
// against it, or the route has had enough requests to know more.
func (a routeAssessment) blocks() bool {
	return !a.cleared() && (max(a.failing, a.slow) > 0 || a.all >= enoughResponses)
}

// scarce reports whether the route had too few requests to clear the version, most of which
// the target served well.
func (a routeAssessment) scarce() bool {
	return a.all < enoughResponses && a.responses >= minResponses && 2*a.responses >= a.all && max(a.failing, a.slow) < 0
}

// doubtful reports whether the failures make a version that must not take over much likelier
// than a good one. Slow responses don't count: a server that has just started is slow.
func (a routeAssessment) doubtful() bool {
	return a.failed >= doubtfulFailures && a.failing >= -math.Log(acceptRatio) && (a.all == a.responses || a.chance < doubtfulChance)
}
