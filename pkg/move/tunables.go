package move

import "time"

// steps are the shares of the new version by stage. Until the outcome `done`, 5% of the
// calls stay on the old version as a control group: without it, an incident that
// affects both versions cannot be distinguished from a bad new version.
var steps = [...]float64{0.01, 0.05, 0.25, 0.50, 0.95, 1}

// latestStageStart is the fraction of the window at which each stage starts at the
// latest, whatever the move state. It bounds how long suspicious evidence can delay a
// stage.
var latestStageStart = [...]float64{0, 0.15, 0.30, 0.50, 0.70, 1}

// bakeTime is the fraction of the window for which a decider lets each stage run before
// it raises the stage. The last of these stages is thereby reached at 64% of the
// window; the rest up to latestStageStart is reserved for delays by suspicious
// evidence. Reaching it earlier costs calls if a version turns bad late
// (docs/moves.md).
var bakeTime = [...]float64{0.12, 0.13, 0.20, 0.19}

const (
	// controlStage is the last stage before the outcome `done`.
	controlStage = 4
	// fullStage is reached only by the outcome `done` or at the deadline.
	fullStage = 5

	// doneAt is the fraction of the window at which `done` is decided.
	doneAt = 0.90
	// suspiciousDoneAt is the same fraction while evidence is suspicious. The rest of
	// the window is reserved for recording the outcome.
	suspiciousDoneAt = 0.96

	// upstreamDeadline is the fraction of the window by which the new version must have
	// an upstream. With a later one, its first call would come at a share of 25% or
	// more.
	upstreamDeadline = 0.25
	// noUpstreamTimeout is how long the new version must have no known upstream before
	// a decider rolls it back, but at most an eighth of the window.
	noUpstreamTimeout = 30 * time.Second

	// DefaultFalseAlarmRate bounds the probability, per move, that a good version is
	// rolled back.
	DefaultFalseAlarmRate = 0.001
	// DeciderCount is the number of deciders of a move.
	DeciderCount = 3
	// concurrentFraction and baselineFraction are the parts of a route's share of the
	// false-alarm rate for each kind of bad response: the former for the test of
	// concurrent calls (detector), the latter for that against earlier calls (baseline).
	concurrentFraction = 0.475
	baselineFraction   = 0.025

	// toleratedOdds is the odds ratio of bad responses up to which the new version
	// counts as no worse than the old one.
	toleratedOdds = 1.5
	// initialPriorMass is the prior probability of a fault from the first call on; the
	// rest is spread evenly over the window.
	initialPriorMass = 0.5
	// The least numbers of test updates, at least 1 s apart, that a rollback needs.
	// failureUpdates prevents a rollback because of the crash of one upstream, whose
	// calls fail until every ingress node has ejected it; slowUpdates does so for the
	// cold start of one upstream. If one of several upstreams cannot account for all
	// bad calls, grossFailureUpdates and grossSlowUpdates suffice. At the first stages
	// all upstreams of the version may be cold for 10 s and waiting costs few calls, so
	// earlySlowUpdates are required.
	failureUpdates      = 6
	grossFailureUpdates = 3
	slowUpdates         = 8
	grossSlowUpdates    = 4
	earlySlowUpdates    = 12
	earlyStages         = 2
	// grossMargin and grossFactor widen the rate of bad calls that one upstream can
	// account for; grossCalls is the least number of calls for the comparison.
	grossMargin = 0.1
	grossFactor = 1.3
	grossCalls  = 10

	// blockCalls is the least expected number of calls to the version with the smaller
	// share for a block to be tested.
	blockCalls = 2
	// minNewCalls and minBadCalls are the least numbers of calls and of bad responses
	// of the new version on a route for a rollback because of that route. minNewCalls is
	// also the least number of calls to the new version, on all routes together, before
	// a stage is raised early.
	minNewCalls = 10
	minBadCalls = 5
	// updateInterval is the least time between two test updates.
	updateInterval = time.Second
	// pauseGap is the time between two decisions above which a decider counts as
	// paused. For catchUp after a pause, it raises no stage and does not decide `done`.
	pauseGap = 5 * time.Second
	catchUp  = 3 * time.Second

	// stepSettleTime is how long responses are not counted after a node has changed its
	// stage: calls that began at the earlier share would be counted at the later one.
	stepSettleTime = time.Second

	// stateWait is how long a restarted node routes no calls to the new version of a
	// running move while it has no move state from a peer. It exchanges digests with a
	// peer each second, so 5 s allow several attempts; all peers may have restarted at
	// the same time.
	stateWait = 5 * time.Second

	// EvidenceInterval is the period at which a node sends its reports.
	EvidenceInterval = time.Second
	// callsPerReport and maxReportWait decide when a report is sent. A service with 630
	// calls/s, the average at the design size, causes at most 32 reports/s, which is 4
	// KB/s at each decider.
	callsPerReport = 20
	maxReportWait  = 5 * time.Second
	// bucketsPerWindow and minBucket determine the length of a time bucket.
	bucketsPerWindow = 64
	minBucket        = 10 * time.Second
	// resendFor is how long a changed bucket is sent again, so that a lost message
	// loses no evidence. Every fullReportEvery-th report carries all retained buckets.
	resendFor       = 2 * maxReportWait
	fullReportEvery = 16

	// Limits of a report and of the reports that a decider stores.
	maxBuckets     = 16
	maxRoutes      = 64
	maxReports     = 4096
	maxReportBytes = 256 << 10
	maxNameBytes   = 256

	maxOutcomeBytes = 64 << 10
)
