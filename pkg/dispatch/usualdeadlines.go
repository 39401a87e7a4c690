package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/routing"
)

// usualDeadlines learns, by route, how much time callers give a new request. A request that comes
// with much less has been refused before: its caller has waited, and counts the target latency from
// the first attempt. In an overload such requests are late whatever is done, and would take the
// place of new ones that can still be on time. It is safe for concurrent use and holds the routes of
// the newest configuration only; mu guards the change to another one.
type usualDeadlines struct {
	routes atomic.Pointer[routeDeadlines]
	mu     sync.Mutex
}

// routeDeadlines holds the estimates for the routes of one configuration.
type routeDeadlines struct {
	version uint64
	byRoute map[string]*usualDeadline
}

// usualDeadline is the estimate for one route. The deadlines of new callers are at least some share of the
// usual one; a request below that share counts as returning. The share is the smallest in a window of
// requests, learned while no request has been refused for as long as its caller could return: all
// requests are new ones then.
type usualDeadline struct {
	value       atomic.Int64  // nanoseconds, 0 before the first request
	lastRefusal atomic.Int64  // nanoseconds since the Unix epoch, 0: none
	share       atomic.Uint64 // of the last complete window, as bits of a float64
	windowShare atomic.Uint64 // of the window that is not complete
	windowSize  atomic.Int64
}

func newUsualDeadline() *usualDeadline {
	e := &usualDeadline{}
	e.share.Store(math.Float64bits(minReturningShare))
	e.windowShare.Store(math.Float64bits(1))
	return e
}

func newUsualDeadlines() *usualDeadlines {
	u := &usualDeadlines{}
	u.routes.Store(&routeDeadlines{})
	return u
}

// configure keeps the estimates of the routes of table, if it is newer than the one in use.
func (u *usualDeadlines) configure(table *routing.Table) {
	if table.Version <= u.routes.Load().version {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.routes.Load()
	if table.Version <= before.version {
		return
	}
	next := &routeDeadlines{version: table.Version, byRoute: make(map[string]*usualDeadline)}
	for _, name := range table.RouteNames() {
		if next.byRoute[name] = before.byRoute[name]; next.byRoute[name] == nil {
			next.byRoute[name] = newUsualDeadline()
		}
	}
	u.routes.Store(next)
}

// elapsed records the time that a caller gives a request of the route that was received at now, and
// returns for how long the caller is assumed to have tried already. It returns 0 for routes that are not
// configured.
func (u *usualDeadlines) elapsed(now time.Time, route string, given time.Duration) time.Duration {
	e := u.routes.Load().byRoute[route]
	if e == nil {
		return 0
	}
	usual := e.observe(given)
	ratio := float64(given) / float64(max(usual, 1))
	if e.calm(now, usual) {
		e.learnShare(ratio)
	}
	if ratio >= e.returningShare() {
		return 0
	}
	return usual - given
}

// refused records that a request of the route was refused, so that its caller may return.
func (u *usualDeadlines) refused(now time.Time, route string) {
	if e := u.routes.Load().byRoute[route]; e != nil {
		e.lastRefusal.Store(now.UnixNano())
	}
}

// calm reports whether no caller can be returning: its deadline has passed since the last refusal.
func (e *usualDeadline) calm(now time.Time, usual time.Duration) bool {
	last := e.lastRefusal.Load()
	return last == 0 || now.Sub(time.Unix(0, last)) > usual
}

// learnShare adds the ratio of a new request's deadline to the usual one to the window. A simultaneous
// observation may fall into the next window.
func (e *usualDeadline) learnShare(ratio float64) {
	bits := math.Float64bits(ratio) // the bits of positive numbers are ordered as the numbers
	for before := e.windowShare.Load(); bits < before; before = e.windowShare.Load() {
		if e.windowShare.CompareAndSwap(before, bits) {
			break
		}
	}
	if e.windowSize.Add(1) == shareWindow {
		e.share.Store(e.windowShare.Swap(math.Float64bits(1)))
		e.windowSize.Store(0)
	}
}

// returningShare returns the share of the usual deadline below which a request counts as returning.
func (e *usualDeadline) returningShare() float64 {
	lowest := math.Float64frombits(min(e.share.Load(), e.windowShare.Load()))
	return max(lowest-returningMargin, minReturningShare)
}

// observe adds a deadline to the estimate and returns it. One of several simultaneous
// observations may be lost.
func (e *usualDeadline) observe(given time.Duration) time.Duration {
	before := e.value.Load()
	usual := time.Duration(before)
	if before == 0 {
		usual = given
	}
	// The estimate moves up nine times as fast as down, so that it settles where one request in ten
	// is above it: single callers with a long deadline do not raise it, and many returning ones do
	// not lower it.
	step := usualDeadlineStep * float64(usual)
	if given > usual {
		usual = min(usual+time.Duration(usualDeadlineQuantile*step), given)
	} else {
		usual = max(usual-time.Duration((1-usualDeadlineQuantile)*step), given)
	}
	e.value.CompareAndSwap(before, int64(usual))
	return usual
}
