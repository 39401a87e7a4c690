package admission

import (
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// rank returns the rank of a request in the queue. Nested requests run first:
// their caller occupies a slot at another server, and its work is lost if they are
// refused. Requests that will be late although they could start now run after all others: in an
// overload they would make others late that can still be on time.
func rank(now time.Time, req *call.Request, cost time.Duration) int {
	switch {
	case req.Nested:
		return 0
	case late(now, req, cost):
		return req.Priority + 1 + lateRank
	default:
		return req.Priority + 1
	}
}

// late reports whether the response will be late although the request could start now.
func late(now time.Time, req *call.Request, cost time.Duration) bool {
	return now.Add(cost).After(req.SoftDeadline)
}

// latestStart returns the latest time at which running a request is still useful.
// Nested requests may start until their deadline, since a refusal fails their caller. Late ones
// wait for a short time only: there is room for them soon or not at all.
func latestStart(now time.Time, req *call.Request, cost time.Duration) time.Time {
	byDeadline := req.Deadline.Add(-cost)
	if req.Nested {
		return byDeadline
	}
	onTime := req.SoftDeadline.Add(-time.Duration(reservedServiceTimes * float64(cost)))
	minWait := now.Add(time.Duration(minWaitShare * float64(req.SoftDeadline.Sub(now))))
	if late(now, req, cost) {
		minWait = now.Add(time.Duration(lateWaitShare * float64(req.Deadline.Sub(now))))
	}
	if onTime.Before(minWait) {
		onTime = minWait
	}
	if onTime.After(byDeadline) {
		return byDeadline
	}
	return onTime
}

// responseDue returns the time by which the response should have arrived: the deadline if it will be
// late anyway.
func responseDue(now time.Time, req *call.Request, cost time.Duration) time.Time {
	if late(now, req, cost) {
		return req.Deadline
	}
	return req.SoftDeadline
}

// transmissionEnd returns when a large response would be fully sent: transmission
// starts when the server has produced it and the uplink has sent its backlog.
func transmissionEnd(now time.Time, backlog, service, transmission time.Duration) time.Time {
	return now.Add(max(backlog, service) + transmission)
}
