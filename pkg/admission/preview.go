package admission

import (
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
)

// Preview is what the controller would do with a request now.
type Preview struct {
	Placement
	// Cost is the expected service time.
	Cost time.Duration
	// Running and Waiting are the requests at the server, Slots the most that run at once.
	Running, Waiting, Slots int
	// Cold means that the server counts as cold.
	Cold bool
}

// Preview returns what Do would decide on the request now, and changes nothing.
func (c *Controller) Preview(now time.Time, req *call.Request) Preview {
	server, why := c.target(now, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Preview{Cold: c.coldness.cold(now) && c.queue.LimitsCold()}
	p.Running, p.Waiting, p.Slots = c.queue.Load()
	if why == "" {
		why = c.closedTo(server)
	}
	if why != "" {
		p.Refusal = why
		return p
	}
	queue := c.queue.copyLimits()
	if c.mayBeNew(server) {
		p.Cold = true
		queue.cold.SetCold(now, c.coldness.until, true)
	}
	job := c.newJob(now, req)
	p.Cost = job.Cost
	if _, late := c.uplinkUse(now, req, job); late > 0 {
		p.Refusal, p.RetryAfter = reason.UplinkFull, uplinkRetryAfter(late)
		return p
	}
	p.Placement = queue.decide(now, job)
	return p
}
