package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// group holds the upstreams of one service. mu guards all fields and the upstreams.
type group struct {
	local   Locality
	metrics *serviceMetrics

	mu         sync.Mutex
	rnd        *rand.Rand
	upstreams  []*upstream // by instance name
	byInstance map[string]*upstream
	ejected    int
	updated    bool
	candidates []candidate // scratch space of pick
}

func newGroup(service string, local Locality, rnd *rand.Rand) *group {
	return &group{
		local:      local,
		metrics:    newServiceMetrics(service),
		rnd:        rnd,
		byInstance: make(map[string]*upstream),
	}
}

func (g *group) update(now time.Time, endpoints []Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[string]*upstream, len(endpoints))
	for _, e := range endpoints {
		next[e.Instance] = g.keep(now, e)
	}
	g.byInstance = next
	g.upstreams = g.upstreams[:0]
	for _, u := range next {
		g.upstreams = append(g.upstreams, u)
	}
	slices.SortFunc(g.upstreams, func(a, b *upstream) int {
		return cmp.Compare(a.endpoint.Instance, b.endpoint.Instance)
	})
	clear(g.upstreams[len(g.upstreams):cap(g.upstreams)])
	g.updated = true
	g.recount()
	for g.ejected > g.ejectionBound() {
		g.restore(now, g.firstToReturn())
	}
}

// keep returns the state of an endpoint: the known one for the same process, else a
// new one.
func (g *group) keep(now time.Time, e Endpoint) *upstream {
	t := g.local.tierOf(e)
	if u := g.byInstance[e.Instance]; u != nil && u.endpoint.sameProcess(e) {
		u.place(e, t)
		return u
	}
	since := e.Since
	if since.IsZero() && g.updated {
		since = now
	}
	return newUpstream(e, t, since)
}

func (g *group) start(e Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.find(e); u != nil {
		u.start()
	}
}

func (g *group) observe(now time.Time, e Endpoint, r Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.find(e)
	if u == nil {
		return
	}
	u.outstanding = max(u.outstanding-1, 0)
	if r.Aborted {
		return
	}
	usual := g.usual(now)
	u.observe(now, r, usual)
	g.weighReport(u, r, usual)
	if r.Leaving {
		u.leaving = now.Add(leavingHold)
	}
	if r.NotRun && !r.Failed {
		return // a refusal for lack of room or on leaving says nothing about health
	}
	u.hint.observe(r.Failed)
	g.judge(now, u, r.Failed)
}

// weighReport compares a report of high load with the latency observed with it. An
// upstream that reports far more load than the others, and answers as fast as they do
// several times in a row, is no longer believed until it is slow again.
func (g *group) weighReport(u *upstream, r Result, usual usual) {
	if r.Load == nil || r.Failed || r.NotRun {
		return
	}
	slow := float64(u.latency) > contradictionLatency*float64(usual.latency)
	switch {
	case slow:
		u.contradictions = 0
	case u.reported/u.slots >= contradictionLoad && u.reported/u.slots >= 2*g.meanReported(u):
		u.contradictions++
	}
}

// meanReported returns the mean load per slot that the upstreams other than u reported.
func (g *group) meanReported(u *upstream) float64 {
	var load, slots float64
	for _, other := range g.upstreams {
		if other != u && other.trusted() {
			load += other.reported
			slots += other.slots
		}
	}
	if slots == 0 {
		return u.reported / u.slots
	}
	return load / slots
}

// judge ejects or returns an upstream after a result.
func (g *group) judge(now time.Time, u *upstream, failed bool) {
	if u.health.ejected {
		if u.health.endProbe(now, failed) {
			g.restore(now, u)
		}
		return
	}
	u.health.observe(now, failed)
	if failed && u.health.outlier() && g.ejected < g.ejectionBound() {
		u.health.eject(now)
		g.metrics.ejections.Inc()
		g.recount()
	}
}

func (g *group) hint(now time.Time, instance string, healthy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.byInstance[instance]; u != nil {
		u.hint.set(now, healthy)
	}
}

// find returns the upstream if the same process is still listed.
func (g *group) find(e Endpoint) *upstream {
	u := g.byInstance[e.Instance]
	if u == nil || !u.endpoint.sameProcess(e) {
		return nil
	}
	return u
}

// ejectionBound returns the largest number of upstreams that may be ejected.
func (g *group) ejectionBound() int { return len(g.upstreams) / ejectedDivisor }

// restore ends the ejection of an upstream, which then grows to its share again.
func (g *group) restore(now time.Time, u *upstream) {
	u.health.restore()
	u.since = now
	g.recount()
}

// firstToReturn returns the ejected upstream whose ejection runs out first.
func (g *group) firstToReturn() *upstream {
	var first *upstream
	for _, u := range g.upstreams {
		if u.health.ejected && (first == nil || u.health.until.Before(first.health.until)) {
			first = u
		}
	}
	return first
}

func (g *group) recount() {
	g.ejected = 0
	for _, u := range g.upstreams {
		if u.health.ejected {
			g.ejected++
		}
	}
	g.metrics.setEjected(g.ejected)
}
