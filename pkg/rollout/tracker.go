package rollout

import (
	"sync"
	"time"
)

// Bounds limit the requests that an unproved version gets.
type Bounds struct {
	// Share of the requests of the service, and Extra requests of all nodes
	// together beyond that.
	Share, Extra float64
}

// Tracker follows the orders of all services at one node. It is safe for
// concurrent use; mu guards the state.
type Tracker struct {
	bounds Bounds

	mu       sync.Mutex
	nodes    int
	orders   map[string]*progress
	versions map[string]map[string]time.Time // first sight, by service and version
}

// NewTracker returns a tracker without orders.
func NewTracker(bounds Bounds) *Tracker {
	return &Tracker{bounds: bounds, nodes: 1, orders: make(map[string]*progress), versions: make(map[string]map[string]time.Time)}
}

// SetNodes tells how many nodes share the extra requests.
func (t *Tracker) SetNodes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = n
}

// Begin takes an order. Started is when this node learned of it, by its steady clock;
// a node that was restarted learns the earlier start from its peers' evidence. It
// reports whether the order is new.
func (t *Tracker) Begin(o Order, started time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.orders[o.Service]; ok && p.order.Revision >= o.Revision {
		if started.Before(p.started) {
			p.started = started
		}
		return false
	}
	t.orders[o.Service] = &progress{order: o, started: started, evidence: make(map[source]Evidence)}
	return true
}

// SetState takes the state of an order. A recorded state binds; without a record a
// node may only take its own decision to roll back ahead.
func (t *Tracker) SetState(service string, revision uint64, s State, recorded bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.orders[service]
	if !ok || p.order.Revision != revision || p.state == s || s == Running {
		return false
	}
	if p.state != Running && !recorded {
		return false
	}
	p.state, p.recorded = s, recorded
	return true
}

// Observe merges the evidence of one server.
func (t *Tracker) Observe(now time.Time, e Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.orders[e.Service]
	if !ok || p.order.Revision != e.Order {
		return
	}
	if start := now.Add(-time.Duration(e.ElapsedMs) * time.Millisecond); start.Before(p.started) {
		p.started = start
	}
	from := source{e.Incarnation, e.Process}
	known, ok := p.evidence[from]
	if !ok || total(e) >= total(known) {
		p.evidence[from] = e
	}
}

// Evidence returns all evidence on the orders that are running, and for each order one
// entry without counts that tells its age.
func (t *Tracker) Evidence(now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Evidence
	for _, p := range t.orders {
		if p.state != Running {
			continue
		}
		out = append(out, Evidence{Service: p.order.Service, Order: p.order.Revision, ElapsedMs: p.elapsed(now)})
		for _, e := range p.evidence {
			e.ElapsedMs = p.elapsed(now)
			out = append(out, e)
		}
	}
	return out
}

func total(e Evidence) uint32 {
	n := uint32(0)
	for _, r := range e.Routes {
		n += r.Total
	}
	return n
}

// Selection tells which versions may run a request. Fallback, if not nil, holds
// when no server of Preferred takes it.
type Selection struct {
	Preferred func(version string) bool
	Fallback  func(version string) bool
}

// Select decides which version runs the next request of a service.
func (t *Tracker) Select(now time.Time, service string) Selection {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.orders[service]
	if !ok {
		return t.unordered(now, service)
	}
	target := p.order.Target
	isTarget := func(v string) bool { return v == target }
	isOther := func(v string) bool { return v != target }
	switch {
	case p.state == Completed:
		return Selection{Preferred: isTarget, Fallback: isOther}
	case p.state == RolledBack:
		return Selection{Preferred: isOther}
	case p.wantsTarget(now, t.bounds, t.nodes):
		return Selection{Preferred: isTarget, Fallback: isOther}
	default:
		return Selection{Preferred: isOther}
	}
}

// unordered holds back a version that appears beside others without an order,
// since the order may still be on its way.
func (t *Tracker) unordered(now time.Time, service string) Selection {
	seen := t.versions[service]
	any := func(string) bool { return true }
	if len(seen) < 2 {
		return Selection{Preferred: any}
	}
	settled := make(map[string]bool, len(seen))
	oldest := time.Time{}
	for _, first := range seen {
		if oldest.IsZero() || first.Before(oldest) {
			oldest = first
		}
	}
	for v, first := range seen {
		settled[v] = first.Sub(oldest) < unorderedHold/10 || now.Sub(first) > unorderedHold
	}
	return Selection{Preferred: func(v string) bool { return settled[v] }, Fallback: any}
}

// RecordVersion records that a server of a version takes requests.
func (t *Tracker) RecordVersion(now time.Time, service, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := t.versions[service]
	if seen == nil {
		seen = make(map[string]time.Time)
		t.versions[service] = seen
	}
	if _, ok := seen[version]; !ok {
		seen[version] = now
	}
}

// Decision is what a node would record of an order.
type Decision struct {
	Order   Order
	Started time.Time
	State   State
	Verdict Verdict
	// Route decided a verdict.
	Route string
	// Responses counts the target's responses that were judged.
	Responses uint32
}

// Decide returns the orders whose outcome is not recorded yet.
func (t *Tracker) Decide(now time.Time) []Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Decision
	for _, p := range t.orders {
		if p.recorded {
			continue
		}
		verdict, route, responses := p.judge()
		d := Decision{Order: p.order, Started: p.started, Verdict: verdict, Route: route, Responses: responses}
		switch {
		case verdict != "" || p.state == RolledBack:
			d.State = RolledBack
		case responses > 0 && !p.suspect && !now.Before(p.recordAt()):
			d.State = Completed
		}
		out = append(out, d)
	}
	return out
}

// Active returns the order of a service that is running.
func (t *Tracker) Active(service string) (Order, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.orders[service]
	if !ok || p.state != Running {
		return Order{}, false
	}
	return p.order, true
}
