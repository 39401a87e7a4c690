package rollout

import "time"

const (
	// canaryShare is the share of requests sent to the target until its takeover. It
	// leaves two thirds of the exposure bound for the takeover.
	canaryShare = 0.03
	// exposureMargin is the share of the exposure bound that is used. Each node applies
	// the bound to its own requests, so that their sum meets it without coordination.
	exposureMargin = 0.85
	// takeoverShare is the share of the window, before the order is recorded as
	// completed, in which all traffic that the bounds allow goes to the target.
	takeoverShare = 0.055
	// recordMargin is the time between recording the outcome and the deadline. It
	// allows for the write to the store and one retry.
	recordMargin = 400 * time.Millisecond
	// minFailures is the minimum number of failed or slow responses for a rollback.
	minFailures = 4
	// minDeviation is the number of standard deviations by which failed or slow
	// responses must exceed the expected number for a rollback.
	minDeviation = 4.0
	// suspectFailures and suspectDeviation are the corresponding values for a suspect
	// version. They are lower because a missed takeover costs users less than a bad
	// version that gets all traffic.
	suspectFailures  = 3
	suspectDeviation = 2.0
	// toleratedFailures and toleratedSlow are the tolerated shares of failed and slow
	// responses of a good version.
	toleratedFailures = 0.02
	toleratedSlow     = 0.06
	// controlFactor multiplies the share of failed or slow responses of the other
	// versions in the same period, so that problems that affect all versions cause no
	// rollback.
	controlFactor = 2.0
	// slowFactor is the multiple of the other versions' median latency above which a
	// response counts as slow. It is rounded up to whole histogram buckets.
	slowFactor = 3.5
	// rollbackChance and doubtfulChance are the probabilities that versions that don't differ
	// give as many failed or slow responses of the target, below which it may be rolled back at
	// once, and be suspect or rolled back by the deadline.
	rollbackChance = 0.02
	doubtfulChance = 0.1
	// badShare is the share of failed or slow responses from which on a version must not take
	// over, and badMargin by how much it exceeds the expected share at least.
	badShare  = 0.3
	badMargin = 0.25
	// acceptRatio is the likelihood of such a version, relative to a good one, below which the
	// target may take over. At its inverse the target is rolled back by the deadline.
	acceptRatio = 0.1
	// controlPrior is the number of good responses that are added to those of the other
	// versions, so that a few of them do not excuse failures of the target.
	controlPrior = 10
	// doubtfulFailures is the minimum number of failures for a rollback at the deadline, and
	// quietResponses the number of the target's responses from which on there is none.
	doubtfulFailures = 2
	quietResponses   = 40
	// enoughResponses is the number of responses on a route, half of them from the target,
	// that are enough for acceptRatio if none is bad. A route with fewer does not prevent a
	// takeover if minResponses or more are good.
	enoughResponses = 16
	minResponses    = 3
	// evidenceGoal is the number of responses per route that the target is to give by
	// evidenceShare of the window. While it has fewer, it gets comparedShare of the route's
	// requests, until the others are enough for comparison.
	evidenceGoal  = 12
	evidenceShare = 0.75
	comparedShare = 0.67
	// trialBurst is the number of such requests that one node may send on a route within
	// trialInterval, which allows for the report of the response to the other nodes.
	trialBurst    = 2
	trialInterval = 300 * time.Millisecond
	// trialBoundShare is the share of the exposure bound, by the responses of all nodes, that
	// requests for lack of evidence may use.
	trialBoundShare = 0.5
	// controlInterval is the minimum time between two reports of a server that does not
	// run the target. Every node receives all reports, so they are the largest part of
	// what nodes tell each other during a rollout.
	controlInterval = time.Second
	// newVersionHold is how long a new version without an order gets no requests while
	// other versions serve.
	newVersionHold = 2500 * time.Millisecond
	// maxReplacedOrders is the number of replaced orders of a service that are kept to know them
	// again after the store was restored from an older copy.
	maxReplacedOrders = 8
)
