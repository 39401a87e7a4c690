package admission

import "time"

const (
	// initialServiceTime is the least service time that is assumed before the first
	// observation.
	initialServiceTime = 80 * time.Millisecond
	// assumedTargetShare is the share of a request's time until its target latency that it is
	// assumed to take if no request of its route was observed: operators set targets at a few
	// times the usual service time.
	assumedTargetShare = 1.0 / 3
	// serviceTimeWeight is the weight of one sample in the moving average of service
	// times.
	serviceTimeWeight = 0.1
	// responseSizeWeight is the weight of one sample in the moving average of response
	// sizes.
	responseSizeWeight = 0.1
	// failureWeight is the weight of one outcome in the failure rate. The rate reflects
	// about the last twenty requests.
	failureWeight = 0.08
	// failureDecayTime is the time constant with which the failure rate decays between
	// outcomes.
	failureDecayTime = 3 * time.Second
	// hangFactor is the multiple of the mean service time after which a request whose
	// caller canceled counts as a failure of the server.
	hangFactor = 5
	// usedUpShare is the share of a request's time at the server after which its cancellation
	// counts as the end of that time. The deadline of a peer's request is known less exactly, by
	// the time that the request took to arrive, and clients leave at about theirs.
	usedUpShare = 0.9
	// reservedServiceTimes is how many mean service times must remain before the soft
	// deadline when a request starts. In the deployments about 90% of the requests take
	// less than twice the mean.
	reservedServiceTimes = 2.0
	// minWaitShare is the share of the time to the soft deadline that a request may
	// always wait, even if its response is then late: so short a wait costs the caller
	// little.
	minWaitShare = 0.125
	// lateRank is added to the ranks of requests that will be late. It is above all priorities.
	lateRank = 1 << 20
	// lateWaitShare is the share of the time to the deadline for which such a request may wait.
	lateWaitShare = 1.0 / 16
	// residualShare is the mean remaining share of the service time of a running
	// request.
	residualShare = 0.5
	// drainStartShare is the share of the drain time after which queued requests no
	// longer start at a draining server.
	drainStartShare = 0.4
	// minLimitedRate is the rate, in requests per second, at which requests go to a server
	// that names a lower limit. Without responses, the end of the limit would not be
	// noticed.
	minLimitedRate = 0.5
	// limitBurst is the time whose requests may start at once at a server with a limit.
	limitBurst = 250 * time.Millisecond
	// coldWindow is the window in which the starts at a cold server are counted: a second, and
	// 5% for requests that take longer to the server than those after them.
	coldWindow = 1050 * time.Millisecond
	// coldEndMargin is added to the cold time that a server names, which is rounded.
	coldEndMargin = 100 * time.Millisecond
	// confirmingHeartbeats is the number of heartbeats of a known incarnation after which it
	// has not restarted. Single heartbeats arrive seconds late.
	confirmingHeartbeats = 2
	// healthInterval is the least time between two requests to the server's health check.
	healthInterval = time.Second
	// minRetryAfter and maxRetryAfter bound the retry time returned to refused callers.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// maxQueue bounds the number of waiting requests regardless of the estimated wait.
	maxQueue = 512
)
