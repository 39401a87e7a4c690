package admission

import "time"

const (
	// initialServiceTime is assumed of a route before it has been observed; it
	// lies between the short and the long routes of the deployments.
	initialServiceTime = 80 * time.Millisecond
	// serviceTimeWeight is the weight of one observation in the mean.
	serviceTimeWeight = 0.1
	// responseSizeWeight is the weight of one response in a route's mean size.
	responseSizeWeight = 0.1
	// failureWeight is the weight of one outcome in the failure rate, so that
	// about twenty requests decide it.
	failureWeight = 0.08
	// failureMemory is the time in which the failure rate fades without outcomes.
	failureMemory = 3 * time.Second
	// hangFactor is how many mean service times a request must have run for the
	// server to count as failing when its caller leaves.
	hangFactor = 5
	// serviceReserve is how many mean service times must be left to the target
	// when a request starts. About nine of ten requests take less than twice
	// the mean in the deployments.
	serviceReserve = 2.0
	// minPatience is the share of the time to the target that a request may
	// wait even if it will then be late: below it, waiting costs the caller
	// little.
	minPatience = 0.125
	// residualShare is the part of its service time that a running request
	// still needs on average.
	residualShare = 0.5
	// fenceShare is the part of the drain bound after which accepted requests
	// no longer start at a leaving server.
	fenceShare = 0.4
	// minRetryAfter and maxRetryAfter bound the advice to a refused caller.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// maxQueue bounds the line, whatever the estimates say.
	maxQueue = 512
)
