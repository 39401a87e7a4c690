package retry

import "time"

// slidingCount estimates the number of events in the last burstWindow from the counts
// of the current and the previous window. It is not safe for concurrent use.
type slidingCount struct {
	start             time.Time // of the current window
	current, previous int64
}

func (c *slidingCount) add(now time.Time) {
	c.advance(now)
	c.current++
}

func (c *slidingCount) count(now time.Time) float64 {
	c.advance(now)
	left := 1 - float64(now.Sub(c.start))/float64(burstWindow)
	return float64(c.current) + left*float64(c.previous)
}

// advance moves the windows so that the current one contains now.
func (c *slidingCount) advance(now time.Time) {
	age := now.Sub(c.start)
	switch {
	case age < 0:
		c.start = now
	case age >= 2*burstWindow:
		*c = slidingCount{start: now}
	case age >= burstWindow:
		*c = slidingCount{start: c.start.Add(burstWindow), previous: c.current}
	}
}
