package admission

import "time"

// ColdStatus is what the node knows about the cold time of its server.
type ColdStatus struct {
	Cold bool
	// Suspected means that the server may have restarted and has not named a cold time since.
	Suspected bool
	// Remaining is the cold time that is left; 0 if it is not known.
	Remaining time.Duration
	// Rate is the rate that the server takes while it is cold; 0 means no limit.
	Rate float64
	// Started is the number of requests that started in the last second. In the second after the
	// rate became known it is too large, since the starts before are not known and count as all.
	Started int
	// LearnedAt is when the node last learned something about it.
	LearnedAt time.Time
}

// ColdStatus returns the present state of the server.
func (c *Controller) ColdStatus(now time.Time) ColdStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := &c.coldness
	return ColdStatus{
		Cold: k.cold(now), Suspected: k.suspected, Remaining: max(k.until.Sub(now), 0),
		Rate: c.queue.cold.rate.PerSecond, Started: c.queue.cold.started(now), LearnedAt: k.learnedAt,
	}
}

// started returns the number of requests that started within the last second, as far as the ring
// has them.
func (l *ColdLimit) started(now time.Time) int {
	count := 0
	for _, at := range l.starts {
		if !at.IsZero() && now.Sub(at) < time.Second {
			count++
		}
	}
	return count
}
