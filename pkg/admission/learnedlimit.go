package admission

import "time"

// LearnedLimit is the number of requests that the node lets the server run at once, as learned from
// its service times, and what the server is known for.
type LearnedLimit struct {
	// Limit is at most Slots, the number that the server announces.
	Limit, Slots int
	// Slowness is how long work takes on the server's machine now, relative to the usual.
	Slowness float64
}

// LearnedLimit returns the present limit of the server.
func (c *Controller) LearnedLimit(now time.Time) LearnedLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return LearnedLimit{Limit: c.learnedSlots(), Slots: c.limit.slots, Slowness: c.slowness.At(now)}
}

// learnedSlots returns the number of requests that the server may run at once. A server that names
// false figures, or none, is not limited: without them, a slow machine can't be told from too many
// requests. The caller holds mu.
func (c *Controller) learnedSlots() int {
	if c.slowness.doubted() {
		return c.limit.slots
	}
	return c.limit.Limit()
}

// learnLimit learns from a request that took the given time on the machine as usual, and from the
// number of requests that ran when it started. named tells whether the response names a figure. The
// caller holds mu.
func (c *Controller) learnLimit(now time.Time, route string, took time.Duration, running int, named bool) {
	switch {
	case c.limit.slots == 0: // the server was replaced, and its successor is not known yet
		return
	case named:
		c.limit.Observe(route, took, running)
	case c.limit.Limit() < c.limit.slots:
		c.limit = newConcurrencyLimit(c.limit.slots)
	}
	if slots := c.learnedSlots(); slots != c.queue.slots {
		c.queue.SetSlots(now, slots)
		c.scheduleStart(now)
	}
}
