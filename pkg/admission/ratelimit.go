package admission

import (
	"math"
	"time"
)

// RateLimit limits the requests that start at the server to the rate that the server names
// in its responses. All requests to the server pass its node, so the limit holds for all
// nodes together. It takes the time as an argument, never blocks and is not safe for
// concurrent use. The zero value has no limit.
type RateLimit struct {
	limited bool
	rate    float64   // requests per second
	tokens  float64   // requests that may start at the time updated
	updated time.Time // when tokens was last computed
	namedAt time.Time // when a response last named a limit
}

// Set records that a response names a limit, in requests per second.
func (l *RateLimit) Set(now time.Time, rate float64) {
	l.refill(now)
	if !l.limited {
		l.tokens = 0
	}
	l.limited, l.rate, l.updated, l.namedAt = true, max(rate, minLimitedRate), now, now
	l.tokens = min(l.tokens, l.burst())
}

// Clear records that the response to a request that was sent at the given time names no
// limit. A response to a request sent before the last limit was named may be older than
// the limit and does not end it.
func (l *RateLimit) Clear(sent time.Time) {
	if sent.After(l.namedAt) {
		*l = RateLimit{}
	}
}

// Take reports whether a request may start now, and counts it if so.
func (l *RateLimit) Take(now time.Time) bool {
	if l.Wait(now, 1) > 0 {
		return false
	}
	l.refill(now)
	l.tokens--
	return true
}

// Wait returns the time until n more requests may have started.
func (l *RateLimit) Wait(now time.Time, n int) time.Duration {
	if !l.limited {
		return 0
	}
	l.refill(now)
	if missing := float64(n) - l.tokens; missing > 0 {
		return time.Duration(math.Ceil(missing / l.rate * float64(time.Second)))
	}
	return 0
}

func (l *RateLimit) refill(now time.Time) {
	if passed := now.Sub(l.updated).Seconds(); l.limited && passed > 0 {
		l.tokens, l.updated = min(l.tokens+passed*l.rate, l.burst()), now
	}
}

// burst returns how many requests may start at once after a pause.
func (l *RateLimit) burst() float64 { return max(1, l.rate*limitBurst.Seconds()) }
