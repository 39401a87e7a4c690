package quota

import "time"

const (
	// Stripes is the number of parts of each limit. Each part has a coordinator of its own.
	// While one coordinator is replaced, the others still grant 3/4 of the limit, which is
	// more than the usual demand of 1/1.6 of it.
	Stripes = 4
	// usedMargin is the part of the bound's overage that is used. The remainder covers idempotent
	// requests that run again after a failure.
	usedMargin = 0.8
	// minStripeDepth is the depth of a stripe's bucket below which an account has one stripe
	// only: a bucket that holds less than a token never grants one.
	minStripeDepth = 2

	// minInterval and maxInterval limit the time between two reports of a node.
	// reportsPerSecond is the number of regular reports that a coordinator of a large fleet
	// gets, 1% of the time of a processor at 8 us each (BenchmarkReport).
	minInterval      = 400 * time.Millisecond
	maxInterval      = time.Second
	reportsPerSecond = 750
	// leaseIntervals is how many intervals a share is leased for, and tokenLife how long tokens
	// are valid. A coordinator counts a share while its lease outlasts the tokens, so that half
	// an interval or more remains for a report that is late. A longer lease would delay the next
	// coordinator. Tokens that live longer are counted longer after their use: with 1.5 s,
	// 0.037 of the requests were refused in calm with 1,400 nodes and clients at all.
	leaseIntervals = 3
	tokenLife      = 600 * time.Millisecond
	// wholePart is the number of units in which the shares of all members are counted.
	wholePart = 1 << 40
	// countInterval is how often a coordinator counts its leases at most.
	countInterval = 20 * time.Millisecond
	// purgeInterval is how often a bucket removes expired tokens at most.
	purgeInterval = 50 * time.Millisecond
	// maxEmptyFor limits the time until the next token that a grant announces.
	maxEmptyFor = 5 * time.Second
	// lastingExcess is the time of a demand beyond the limit after which refused requests are told
	// to return in maxEmptyFor. A burst ends earlier.
	lastingExcess = 2 * time.Second
	// fullCoverage is the part of the shares from which a refusal is due to the limit, whatever the
	// demand. minExceeding is the least number of lacking tokens that shows a demand beyond the
	// limit.
	fullCoverage = 0.9
	minExceeding = 3

	// demandTime is the time constant of the demand estimate.
	demandTime = 500 * time.Millisecond
	// inactiveRate is the demand in requests per second below which an account without tokens
	// is left out of reports.
	inactiveRate = 0.01
	// aheadTime is how much of the demand a node holds tokens for. The tokens that may exist
	// at a time are as few as 0.4 s of the rate, so that nodes that hold more would take them
	// from others.
	aheadTime = 300 * time.Millisecond
	// lowTime is the demand left in tokens at which a node reports before the interval has
	// passed. It covers the delay of a report and its grant.
	lowTime = 100 * time.Millisecond
	// urgentInterval is the minimum time between two reports to one coordinator.
	urgentInterval = 25 * time.Millisecond
	// grantDelay is the time after which a grant is no longer expected, and the tokens are asked
	// for elsewhere.
	grantDelay = 40 * time.Millisecond
	// slowAnswer is the time from a report to its grant from which a node with little demand asks all
	// coordinators for the same request.
	slowAnswer = 30 * time.Millisecond
	// slowGrantDelay replaces grantDelay then. It is above the time for which a request waits.
	slowGrantDelay = 120 * time.Millisecond
	// emptyKept limits how long a node relies on the announcement that a bucket is empty;
	// tokens that other nodes return arrive earlier than announced.
	emptyKept = 200 * time.Millisecond
	// scarceKept is how long a node with little demand holds no tokens ahead after a coordinator
	// has said that the demand exceeds the limit.
	scarceKept = 600 * time.Millisecond
	// hoardRate is the demand at a node from which tokens held ahead are used before they expire:
	// at 5 per second, 0.05 of the periods of tokenLife have no request.
	hoardRate = 5
	// sentReports is the number of reports to a coordinator that a grant may respond to.
	sentReports = 8
	// unansweredAfter is the number of intervals without a grant after which a coordinator is
	// replaced, AvoidedFor the time until it is asked again.
	unansweredAfter = 2
	AvoidedFor      = 5 * time.Second
)
