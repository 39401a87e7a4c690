package admission

import "time"

// concurrencyLimit learns how many requests a server runs well at once. Some servers slow down so
// much under concurrency that they complete fewer requests with all slots in use than with some of
// them. The limit falls while requests take longer, relative to the times of their routes at low
// concurrency, than more concurrency can make up for, and rises by itself otherwise. It takes no
// time, performs no I/O and is not safe for concurrent use.
type concurrencyLimit struct {
	slots int
	limit float64
	// low and recent hold the service times by route, in seconds: at low concurrency, and of the last
	// requests. A server that is always busy shows no times at low concurrency; those known then
	// slowly approach the recent ones, so that a server that has become slower for good gets its
	// slots back.
	low, recent map[string]meanTime
}

func newConcurrencyLimit(slots int) *concurrencyLimit {
	return &concurrencyLimit{slots: slots, limit: float64(slots), low: make(map[string]meanTime), recent: make(map[string]meanTime)}
}

// meanTime is a moving average that starts as a mean.
type meanTime struct {
	mean, count float64
}

func (m *meanTime) observe(v, weight float64) {
	m.count++
	m.mean += max(1/m.count, weight) * (v - m.mean)
}

// Limit returns the number of requests that may run at once, from 1 to the slots.
func (l *concurrencyLimit) Limit() int { return int(l.limit + 0.5) }

// Observe records the end of a request of the route: its service time on the machine as usual, and
// the number of requests that ran when it started, itself included.
func (l *concurrencyLimit) Observe(route string, took time.Duration, running int) {
	seconds := took.Seconds()
	low, recent := l.low[route], l.recent[route]
	if running <= max(l.slots/lowConcurrencyPart, 1) || low.count == 0 {
		low.observe(seconds, lowTimeWeight)
	} else {
		low.mean += staleTimeWeight * (seconds - low.mean)
	}
	recent.observe(seconds, recentTimeWeight)
	l.low[route], l.recent[route] = low, recent
	ratio := min(max(toleratedSlowdown*low.mean/recent.mean, minLimitRatio), 1)
	// Where times are tolerated the limit rises by a fraction of a slot with each request; where they
	// are not, it settles at the concurrency whose times are.
	l.limit += limitWeight * (l.limit*ratio + 1 - l.limit)
	l.limit = min(max(l.limit, 1), float64(l.slots))
}
