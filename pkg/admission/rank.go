package admission

import (
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// rank returns the rank of a request in the queue. Nested requests run first:
// their caller occupies a slot at another server, and its work is lost if they are
// refused.
func rank(req *call.Request) int {
	if req.Nested {
		return 0
	}
	return req.Priority + 1
}

// latestStart returns the latest time at which running a request is still useful.
// Nested requests may start until their deadline, since a refusal fails their caller.
func latestStart(now time.Time, req *call.Request, cost time.Duration) time.Time {
	byDeadline := req.Deadline.Add(-cost)
	if req.Nested {
		return byDeadline
	}
	onTime := req.SoftDeadline.Add(-time.Duration(reservedServiceTimes * float64(cost)))
	minWait := now.Add(time.Duration(minWaitShare * float64(req.SoftDeadline.Sub(now))))
	if onTime.Before(minWait) {
		onTime = minWait
	}
	if onTime.After(byDeadline) {
		return byDeadline
	}
	return onTime
}

// transmissionEnd returns when a large response would be fully sent: transmission
// starts when the server has produced it and the uplink has sent its backlog.
func transmissionEnd(now time.Time, backlog, service, transmission time.Duration) time.Time {
	return now.Add(max(backlog, service) + transmission)
}
