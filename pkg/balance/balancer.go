package balance

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Balancer selects upstreams for the calls of one node. It is safe for concurrent use.
// Pick, Start and Observe do not allocate.
type Balancer struct {
	local Locality

	mu     sync.RWMutex
	rnd    *rand.Rand        // guarded by mu
	groups map[string]*group // by service; guarded by mu
}

// New returns a Balancer without upstreams for a node at the given locality. The
// Balancer uses rnd under its own lock; the caller must not use it afterwards.
func New(local Locality, rnd *rand.Rand) *Balancer {
	return &Balancer{local: local, rnd: rnd, groups: make(map[string]*group)}
}

// Update replaces the upstreams of a service by endpoints, which must not contain
// leaving ones. Statistics of an upstream are kept as long as its incarnation and
// version stay the same. Pick never returns an upstream that is not listed.
func (b *Balancer) Update(now time.Time, service string, endpoints []Endpoint) {
	b.mu.Lock()
	g, known := b.groups[service]
	if !known {
		if len(endpoints) == 0 {
			b.mu.Unlock()
			return
		}
		seed := rand.NewPCG(b.rnd.Uint64(), b.rnd.Uint64())
		g = newGroup(service, b.local, rand.New(seed))
		b.groups[service] = g
	}
	b.mu.Unlock()
	g.update(now, endpoints)
}

// Pick selects an upstream of a service. An empty version matches any version; exclude
// holds the instances that the call has already tried and may be nil. Pick returns
// false if no upstream matches. The caller must call Start before it sends the call and
// Observe after the call has ended.
func (b *Balancer) Pick(now time.Time, service, version string, exclude map[string]bool) (Endpoint, bool) {
	g := b.group(service)
	if g == nil {
		return Endpoint{}, false
	}
	return g.pick(now, version, exclude)
}

// Start records the start of a call to e.
func (b *Balancer) Start(now time.Time, e Endpoint) {
	if g := b.group(e.Service); g != nil {
		g.start(e)
	}
}

// Observe records the result of a call to e. The result is ignored if the upstream is no
// longer listed with that incarnation and version.
func (b *Balancer) Observe(now time.Time, e Endpoint, r Result) {
	if g := b.group(e.Service); g != nil {
		g.observe(now, e, r)
	}
}

// ReportHealth records the result of an upstream's health check. An unhealthy result
// lowers the probability of picking the upstream until a few calls to it have succeeded,
// a healthy result is reported or healthReportTTL has passed. It never ejects an
// upstream, and a healthy result never ends an ejection.
func (b *Balancer) ReportHealth(now time.Time, service, instance string, healthy bool) {
	if g := b.group(service); g != nil {
		g.recordHealthReport(now, instance, healthy)
	}
}

// Ejected returns the number of ejected upstreams of a service.
func (b *Balancer) Ejected(service string) int {
	g := b.group(service)
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ejected
}

func (b *Balancer) group(service string) *group {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.groups[service]
}
