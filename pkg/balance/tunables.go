package balance

import "time"

const (
	// rampTime is the duration in which the share of a new upstream grows to its full
	// value.
	rampTime = 10 * time.Second
	// rampFloor is the initial share of a new upstream. It must be above 0, so that the
	// upstream gets calls from which its latency is observed.
	rampFloor = 0.02

	// defaultSlots is assumed for an upstream that does not announce its slots.
	defaultSlots = 9
	// latencyHalfLife is the half-life with which an observed latency decays to the
	// mean of the service, so that an upstream that was slow is retried.
	latencyHalfLife = 5 * time.Second
	// latencyGain is the weight of a new sample in the observed latency if samples are
	// frequent, staleLatencyGain if the last one is much older than latencyHalfLife.
	latencyGain      = 0.1
	staleLatencyGain = 0.5
	// loadHalfLife is the half-life of the weight of a load report in the mean load of
	// a service.
	loadHalfLife = time.Second
	// maxReportedLoad caps a reported load, as a multiple of the slots, so that a wrong
	// report cannot deprive an upstream of all calls.
	maxReportedLoad = 2.0
	// randomPickShare is the share of calls that go to a random upstream regardless of
	// its cost. With three or more upstreams of equal weight, each gets less than 1% of
	// the calls in this way.
	randomPickShare = 0.02
	// A report of at least contradictionLoad calls per slot, and of twice the load of
	// the other upstreams, counts as contradicted if the observed latency is at most
	// contradictionLatency times the mean of the service, because a call that waits in
	// a queue of half the slots takes longer. The reports of an upstream are ignored
	// after maxContradictions contradictions without a slow response between them.
	contradictionLoad    = 1.5
	contradictionLatency = 1.25
	maxContradictions    = 5
	// defaultLatency is the assumed latency of a service before its first result.
	defaultLatency = 10 * time.Millisecond

	// spillStart and spillFull are the utilisations of the nearer upstreams at which
	// spillover begins and at which distance is ignored. Queues are short below 60%
	// utilisation and grow quickly above 90%.
	spillStart = 0.6
	spillFull  = 0.9
	// slowStart and slowFull are the corresponding ratios of the latency of the nearer
	// upstreams to that of the farther ones.
	slowStart = 1.5
	slowFull  = 3.0
	// exploreShare is the share of calls sent to the next tier to observe its latency.
	// It is below 1%, so that p99 is not affected. exploreUnknown is the share while no
	// latency of the next tier is known.
	exploreShare   = 0.005
	exploreUnknown = 0.05
)

const (
	// ejectConsecutive is the number of consecutive failures that ejects an upstream.
	ejectConsecutive = 5
	// ejectRate is the failure rate that ejects an upstream after ejectSamples results.
	ejectRate    = 0.5
	ejectSamples = 10
	// failureGain is the weight of a new result in the failure rate.
	failureGain = 0.1
	// failureHalfLife is the half-life of the failure rate of an upstream without
	// calls.
	failureHalfLife = 5 * time.Second
	// maxFailurePenalty caps the failure rate in the cost, which it raises at most
	// 10-fold.
	maxFailurePenalty = 0.9
	// ejectBase is the duration of the first ejection. It doubles with each further one
	// up to ejectMax.
	ejectBase = 3 * time.Second
	ejectMax  = time.Minute
	// ejectionResetTime is the time without a failure after which the duration of
	// ejections is reset to ejectBase.
	ejectionResetTime = 2 * time.Minute
	// ejectedDivisor limits ejections to a third of the upstreams of a service.
	ejectedDivisor = 3
	// probeInterval is the minimum time between two probes of an ejected upstream.
	probeInterval = time.Second
	// probeTimeout is the time after which a probe without a result no longer blocks
	// others.
	probeTimeout = 5 * time.Second
	// probeShare is the maximum share of calls used as probes, so that nodes that send
	// few calls do not use most of them as probes.
	probeShare = 0.1
	// probesToReturn is the number of consecutive successful probes that ends an
	// ejection.
	probesToReturn = 3

	// leavingExclusionTime is how long an upstream that refused a call because it is
	// leaving gets no calls, even if the member table still lists it.
	leavingExclusionTime = 10 * time.Second

	// healthReportTTL is how long the result of a health check is considered.
	healthReportTTL = 10 * time.Second
	// unhealthyPenalty multiplies the cost of an upstream whose health check reports it
	// as unhealthy and that has no recent successes.
	unhealthyPenalty = 8.0
	// healthReportCheckInterval is the minimum time between two calls that verify an
	// unhealthy report.
	healthReportCheckInterval = time.Second
	// healthReportOverrideSuccesses is the number of consecutive successful calls that
	// overrides an unhealthy report.
	healthReportOverrideSuccesses = 3
)
