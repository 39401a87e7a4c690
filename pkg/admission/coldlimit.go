package admission

import (
	"math"
	"time"
)

// ColdRate is what a cold server takes, as the configuration and the bounds of the deployment
// state it.
type ColdRate struct {
	// PerSecond is the rate of requests that a cold server takes; 0 means no limit.
	PerSecond float64
	// Overage and Slack bound the requests in any second: PerSecond x Overage + Slack.
	Overage, Slack float64
}

// perWindow returns the number of requests that may start within coldWindow.
func (r ColdRate) perWindow() int {
	return int(max(math.Floor(r.PerSecond*r.Overage+r.Slack), 1))
}

// ColdLimit limits the requests that start at a cold server: their number in any window of a
// second, and their rate. It addresses a load that is far above the rate of a cold server and
// that all nodes offer at once. All requests to the server pass its node, so the limit holds
// for all nodes together. It takes the time as an argument, never blocks and is not safe for
// concurrent use. The zero value has no limit.
//
// The window also counts the starts before the limit applies: the server may have become cold
// before its node knew it.
type ColdLimit struct {
	rate ColdRate
	// starts is a ring with the last perWindow starts; next is the index of the oldest one.
	starts []time.Time
	next   int

	until      time.Time // the limit applies until then
	unknownEnd bool      // the end is not known: the limit applies until SetCold says otherwise
	since      time.Time // since when it has applied without interruption
	tokens     float64   // requests that may start at the time updated
	updated    time.Time
}

// SetRate sets what a cold server takes. Since the starts before the first rate are not
// known, the window counts as full then: an earlier process of the node may have sent requests.
func (l *ColdLimit) SetRate(now time.Time, rate ColdRate) {
	if rate == l.rate {
		return
	}
	was := l.Active(now)
	l.refill(now)
	known := l.starts
	before := len(known)
	l.rate = rate
	if rate.PerSecond <= 0 {
		l.rate, l.starts, l.next = ColdRate{}, nil, 0
		return
	}
	earlier := now // no start that is not in the ring was later
	if before > 0 {
		earlier = known[l.next]
	}
	starts := make([]time.Time, rate.perWindow())
	for i := range starts {
		starts[i] = earlier
		if back := len(starts) - i; back <= before {
			starts[i] = known[(l.next+before-back)%before]
		}
	}
	l.starts, l.next = starts, 0
	l.tokens = min(l.tokens, l.burst())
	l.begin(now, was)
}

// SetCold makes the limit apply until the given time or, with unknownEnd, until the next call.
func (l *ColdLimit) SetCold(now, until time.Time, unknownEnd bool) {
	was := l.Active(now)
	l.refill(now)
	l.until, l.unknownEnd = until, unknownEnd
	l.begin(now, was)
}

// begin starts the count of tokens if the limit applies and did not before.
func (l *ColdLimit) begin(now time.Time, was bool) {
	if !was && l.Active(now) {
		l.since, l.updated, l.tokens = now, now, 1
	}
}

// Active reports whether the limit applies.
func (l *ColdLimit) Active(now time.Time) bool {
	return len(l.starts) > 0 && (l.unknownEnd || now.Before(l.until))
}

// Take counts the start of a request. The caller has checked that Wait is 0.
func (l *ColdLimit) Take(now time.Time) {
	if len(l.starts) == 0 {
		return
	}
	if l.Active(now) {
		l.refill(now)
		l.tokens--
	}
	l.starts[l.next] = now
	l.next = (l.next + 1) % len(l.starts)
}

// Return takes back the start of a request at the given time that the server did not get or that
// it has answered as not addressed to it. Starts from before the limit applied stay counted:
// the ring no longer has the starts that they replaced.
func (l *ColdLimit) Return(now, started time.Time) {
	if !l.Active(now) || started.Before(l.since) {
		return
	}
	size := len(l.starts)
	for i := 1; i <= size; i++ { // the newest first
		at := (l.next + size - i) % size
		if !l.starts[at].Equal(started) {
			continue
		}
		for ; at != l.next; at = (at + size - 1) % size {
			l.starts[at] = l.starts[(at+size-1)%size]
		}
		l.starts[l.next] = time.Time{}
		l.refill(now)
		l.tokens = min(l.tokens+1, l.burst())
		return
	}
}

// Wait returns the time until n more requests may have started.
func (l *ColdLimit) Wait(now time.Time, n int) time.Duration {
	if !l.Active(now) {
		return 0
	}
	l.refill(now)
	wait := max(l.windowWait(now, n), 0)
	if missing := float64(n) - l.tokens; missing > 0 {
		wait = max(wait, time.Duration(math.Ceil(missing/l.perSecond()*float64(time.Second))))
	}
	if !l.unknownEnd {
		wait = min(wait, l.until.Sub(now))
	}
	return wait
}

// windowWait returns the time until the window has room for n more starts.
func (l *ColdLimit) windowWait(now time.Time, n int) time.Duration {
	size := len(l.starts)
	full := (n - 1) / size // further windows that the requests fill
	oldest := l.starts[(l.next+(n-1)%size)%size]
	if oldest.IsZero() {
		return time.Duration(full) * coldWindow
	}
	return oldest.Add(coldWindow).Sub(now) + time.Duration(full)*coldWindow
}

func (l *ColdLimit) refill(now time.Time) {
	if passed := now.Sub(l.updated).Seconds(); l.Active(now) && passed > 0 {
		l.tokens, l.updated = min(l.tokens+passed*l.perSecond(), l.burst()), now
	}
}

// perSecond returns the rate at which requests start. It is not below that of the configuration;
// if the bound is, the window keeps it.
func (l *ColdLimit) perSecond() float64 { return l.rate.PerSecond * max(l.rate.Overage, 1) }

// burst returns how many requests may start at once after a pause. It is far below the window:
// the rest is for requests that are delayed on their way to the server and arrive together.
func (l *ColdLimit) burst() float64 { return max(1, l.perSecond()*limitBurst.Seconds()) }
