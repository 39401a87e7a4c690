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
	candidates []candidate // buffer of pick, reused to avoid allocations
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
		next[e.Instance] = g.upstreamFor(now, e)
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
	g.updateEjectedCount()
	for g.ejected > g.ejectionBound() {
		g.restore(now, g.earliestExpiry())
	}
}

// upstreamFor returns the state of an endpoint: the existing one for the same process,
// or else a new one.
func (g *group) upstreamFor(now time.Time, e Endpoint) *upstream {
	t := g.local.tierOf(e)
	if u := g.byInstance[e.Instance]; u != nil && u.endpoint.sameProcess(e) {
		u.setEndpoint(e, t)
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
	means := g.serviceMeans(now)
	u.observe(now, r, means)
	g.checkLoadReport(u, r, means)
	if r.Leaving {
		u.excludedUntil = now.Add(leavingExclusionTime)
	}
	if r.NotRun && !r.Failed {
		return // a refusal for lack of capacity or because of leaving is no evidence of health
	}
	u.healthReport.observe(r.Failed)
	g.updateEjection(now, u, r.Failed)
}

// checkLoadReport compares a report of high load with the observed latency. An upstream
// that repeatedly reports at least twice the load of the others while it responds as
// fast as they do is no longer trusted until its responses are slow again.
func (g *group) checkLoadReport(u *upstream, r Result, means serviceMeans) {
	if r.Load == nil || r.Failed || r.NotRun {
		return
	}
	slow := float64(u.latency) > contradictionLatency*float64(means.latency)
	switch {
	case slow:
		u.contradictions = 0
	case u.reportedLoad/u.slots >= contradictionLoad && u.reportedLoad/u.slots >= 2*g.meanReported(u):
		u.contradictions++
	}
}

// meanReported returns the mean load per slot reported by the upstreams other than u.
func (g *group) meanReported(u *upstream) float64 {
	var load, slots float64
	for _, other := range g.upstreams {
		if other != u && other.trusted() {
			load += other.reportedLoad
			slots += other.slots
		}
	}
	if slots == 0 {
		return u.reportedLoad / u.slots
	}
	return load / slots
}

// updateEjection ejects or restores an upstream after a result.
func (g *group) updateEjection(now time.Time, u *upstream, failed bool) {
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
		g.updateEjectedCount()
	}
}

func (g *group) recordHealthReport(now time.Time, instance string, healthy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.byInstance[instance]; u != nil {
		u.healthReport.set(now, healthy)
	}
}

// find returns the upstream of e if the same process is still listed, or else nil.
func (g *group) find(e Endpoint) *upstream {
	u := g.byInstance[e.Instance]
	if u == nil || !u.endpoint.sameProcess(e) {
		return nil
	}
	return u
}

// ejectionBound returns the maximum number of ejected upstreams.
func (g *group) ejectionBound() int { return len(g.upstreams) / ejectedDivisor }

// restore ends the ejection of an upstream and restarts its ramp.
func (g *group) restore(now time.Time, u *upstream) {
	u.health.restore()
	u.rampStart = now
	g.updateEjectedCount()
}

// earliestExpiry returns the ejected upstream whose ejection expires first.
func (g *group) earliestExpiry() *upstream {
	var first *upstream
	for _, u := range g.upstreams {
		if u.health.ejected && (first == nil || u.health.ejectedUntil.Before(first.health.ejectedUntil)) {
			first = u
		}
	}
	return first
}

func (g *group) updateEjectedCount() {
	g.ejected = 0
	for _, u := range g.upstreams {
		if u.health.ejected {
			g.ejected++
		}
	}
	g.metrics.setEjected(g.ejected)
}
