package admission

import (
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// rank orders requests in the line. Nested requests go first: their caller
// holds a slot at another server, and its work is wasted if they are refused.
func rank(req *call.Request) int {
	if req.Nested {
		return 0
	}
	return req.Priority + 1
}

// latestStart returns when a request must start to be worth running. Nested
// requests may start until their deadline, since a refusal fails their caller.
func latestStart(now time.Time, req *call.Request, cost time.Duration) time.Time {
	byDeadline := req.Deadline.Add(-cost)
	if req.Nested {
		return byDeadline
	}
	onTime := req.SoftDeadline.Add(-time.Duration(serviceReserve * float64(cost)))
	patience := now.Add(time.Duration(minPatience * float64(req.SoftDeadline.Sub(now))))
	if onTime.Before(patience) {
		onTime = patience
	}
	if onTime.After(byDeadline) {
		return byDeadline
	}
	return onTime
}

// transmissionEnd returns when a large response would have left the link: it is sent
// once the server has made it and the link is free of what it has to carry before.
func transmissionEnd(now time.Time, backlog, service, transmission time.Duration) time.Time {
	return now.Add(max(backlog, service) + transmission)
}
