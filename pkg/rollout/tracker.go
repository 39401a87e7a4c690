package rollout

import (
	"slices"
	"sync"
	"time"
)

// Bounds limits the requests sent to a new version before its takeover.
type Bounds struct {
	// Share is the allowed share of the service's requests. Extra is an additional
	// number of requests for all nodes together.
	Share, Extra float64
}

// Tracker holds the state of the orders of all services at one node. It is safe for
// concurrent use; mu guards the state.
type Tracker struct {
	bounds Bounds

	mu       sync.Mutex
	nodes    int
	orders   map[string]*progress
	excluded map[string]exclusions           // by service
	versions map[string]map[string]time.Time // time of the first announcement, by service and version
	replaced map[string][]Order              // the last orders that another one replaced, by service
}

// NewTracker returns a tracker without orders.
func NewTracker(bounds Bounds) *Tracker {
	return &Tracker{bounds: bounds, nodes: 1, orders: make(map[string]*progress), excluded: make(map[string]exclusions), versions: make(map[string]map[string]time.Time), replaced: make(map[string][]Order)}
}

// SetNodes sets the number of nodes that share Bounds.Extra.
func (t *Tracker) SetNodes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = n
}

// Begin adds an order and reports whether it is new. The version of the order that it replaces
// stays out of use if it was rolled back, or if that order had no outcome yet. started is when
// this node received the order, by its monotonic clock; a restarted node gets the earlier start
// from its peers' evidence.
func (t *Tracker) Begin(o Order, started time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.orders[o.Service]; ok && p.order.Revision >= o.Revision {
		if started.Before(p.started) {
			p.started = started
		}
		return false
	}
	if t.restored(o) {
		return false
	}
	if p, ok := t.orders[o.Service]; ok {
		if p.order.Target != o.Target {
			t.settle(o.Service, p.order.Target, p.state)
		}
		replaced := append(t.replaced[o.Service], p.order)
		t.replaced[o.Service] = replaced[max(0, len(replaced)-maxReplacedOrders):]
	}
	t.orders[o.Service] = &progress{order: o, started: started, evidence: make(map[source]Evidence), trials: make(map[string]*trial)}
	return true
}

// restored handles an order that this node knows from an earlier era of the store, and reports
// whether it is one. The state of the newest order stays, and has to be recorded again, since
// the store may have lost it. An order that was replaced before stays replaced. The caller
// holds mu.
func (t *Tracker) restored(o Order) bool {
	p, ok := t.orders[o.Service]
	if ok && o.restores(p.order) {
		p.order.Revision, p.recorded = o.Revision, false
		return true
	}
	return ok && slices.ContainsFunc(t.replaced[o.Service], o.sameRow)
}

// SetState sets the state of an order and reports whether it changed. Running is
// ignored. A recorded state takes precedence over a local one; an unrecorded state is
// only applied to a running order. The caller must pass an unrecorded state only for its
// own decision to roll back.
func (t *Tracker) SetState(service string, revision uint64, s State, recorded bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.orders[service]
	if !ok || p.order.Revision != revision || s == Running {
		return false
	}
	if p.state == s {
		p.recorded = p.recorded || recorded
		return false
	}
	if p.state != Running && !recorded {
		return false
	}
	p.state, p.recorded = s, recorded
	t.settle(service, p.order.Target, s)
	return true
}

// settle excludes or admits a version by the last state of its order. The caller holds mu.
func (t *Tracker) settle(service, version string, last State) {
	t.excluded[service] = t.excluded[service].settled(version, last)
}

// Apply applies what the store keeps of a service's orders and reports whether the state of
// the newest order changed. now is when this node received the record.
func (t *Tracker) Apply(now time.Time, r Record) bool {
	t.Begin(r.Order, now)
	r.Order.Revision = t.currentRevision(r.Order)
	t.exclude(r)
	return t.SetState(r.Order.Service, r.Order.Revision, r.State, true)
}

// currentRevision returns the revision of the newest order if that is the given one in a later
// era of the store, otherwise the given order's.
func (t *Tracker) currentRevision(o Order) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.orders[o.Service]; ok && p.order.restores(o) {
		return p.order.Revision
	}
	return o.Revision
}

// exclude adds the exclusions of a record.
func (t *Tracker) exclude(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.orders[r.Order.Service].order
	for _, x := range r.excluded(current.Revision != r.Order.Revision && current.Target != r.Order.Target) {
		t.excluded[r.Order.Service] = t.excluded[r.Order.Service].with(x.version, x.reason)
	}
	if r.State == Completed {
		t.settle(r.Order.Service, r.Order.Target, Completed)
	}
}

// Verdicts returns what a record has to keep of the service's earlier orders.
func (t *Tracker) Verdicts(service string) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.excluded[service]
	return Record{Rejected: all.versions(Rejected), Superseded: all.versions(Superseded)}
}

// Observe merges the evidence about one server. It keeps the highest counts of each
// source and the earliest start of the order.
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

// Evidence returns the evidence for all orders whose outcome is not recorded, and for each
// order one entry without counts that reports its elapsed time. A restarted node needs it to
// reach the same verdict.
func (t *Tracker) Evidence(now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Evidence
	for _, p := range t.orders {
		if p.recorded {
			continue
		}
		out = append(out, Evidence{Service: p.order.Service, Order: p.order.Revision, ElapsedMs: p.elapsedMs(now)})
		for _, e := range p.evidence {
			e.ElapsedMs = p.elapsedMs(now)
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

// Selection holds filters for the versions that may run a request. Fallback, if not
// nil, applies when no server of a Preferred version is available.
type Selection struct {
	Preferred func(version string) bool
	Fallback  func(version string) bool
}

// Select selects the versions for the next request to a service on a route and counts the
// request.
func (t *Tracker) Select(now time.Time, service, route string) Selection {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.orders[service]
	return t.selection(now, service, ok && p.state == Running && p.chooseTarget(now, route, t.bounds, t.nodes))
}

// Preview returns what Select would, and counts nothing.
func (t *Tracker) Preview(now time.Time, service, route string) Selection {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.orders[service]
	return t.selection(now, service, ok && p.state == Running && p.wouldChooseTarget(now, route, t.bounds, t.nodes))
}

// selection returns the filters for a request. toTarget tells whether a running order sends it to
// its target. The caller holds mu.
func (t *Tracker) selection(now time.Time, service string, toTarget bool) Selection {
	p, ok := t.orders[service]
	if !ok {
		return t.selectWithoutOrder(now, service)
	}
	target, excluded := p.order.Target, t.excluded[service]
	isTarget := func(v string) bool { return v == target }
	isOther := func(v string) bool { return v != target && excluded.reason(v) == 0 }
	notRejected := func(v string) bool { return v != target && excluded.reason(v) != Rejected }
	out := Selection{Preferred: isOther}
	switch {
	case p.state == Completed:
		out = Selection{Preferred: isTarget, Fallback: notRejected}
	case toTarget:
		out = Selection{Preferred: isTarget, Fallback: isOther}
	case len(excluded.versions(Superseded)) == 0:
	case p.state == Running:
		out.Fallback = isTarget // of two versions without an outcome, that of the newest order
	default:
		out.Fallback = notRejected
	}
	return out
}

// selectWithoutOrder excludes a recently announced version while other versions serve,
// since this node may not have received its order yet.
func (t *Tracker) selectWithoutOrder(now time.Time, service string) Selection {
	seen := t.versions[service]
	any := func(string) bool { return true }
	if len(seen) < 2 {
		return Selection{Preferred: any}
	}
	accepted := make(map[string]bool, len(seen))
	oldest := time.Time{}
	for _, first := range seen {
		if oldest.IsZero() || first.Before(oldest) {
			oldest = first
		}
	}
	for v, first := range seen {
		accepted[v] = first.Sub(oldest) < newVersionHold/10 || now.Sub(first) > newVersionHold
	}
	return Selection{Preferred: func(v string) bool { return accepted[v] }, Fallback: any}
}

// RecordVersion records that a server of the version accepts requests.
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

// Decision is the state of an order that a node proposes to record; Running if the node
// has not decided on the outcome yet.
type Decision struct {
	Order   Order
	Started time.Time
	State   State
	Verdict Verdict
	// Route is the route that caused the verdict.
	Route string
	// Responses is the number of the target's responses considered.
	Responses uint32
}

// Decide returns a decision for each order whose state was not taken from a record. It
// still returns an order that this node rolled back before the rollback was recorded.
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
		due := !now.Before(p.completeAt())
		doubted, doubtful := p.doubtful()
		switch {
		case p.state == Completed: // the store has lost the record
			d.State, d.Verdict = Completed, ""
		case verdict != "" || p.state == RolledBack:
			d.State = RolledBack
		case due && doubtful:
			d.State, d.Verdict, d.Route = RolledBack, Failing, doubted
		case due && p.mayComplete():
			d.State = Completed
		}
		out = append(out, d)
	}
	return out
}

// Active returns the running order of a service.
func (t *Tracker) Active(service string) (Order, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.orders[service]
	if !ok || p.state != Running {
		return Order{}, false
	}
	return p.order, true
}
