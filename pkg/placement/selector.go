package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// Selector chooses among the servers that accept requests. It is safe for concurrent
// use; mu guards the state.
type Selector struct {
	locality Locality

	mu    sync.Mutex
	rnd   *rand.Rand
	nodes map[string]*node
	// byService holds the nodes by the service of their servers, in the order in which they
	// were added.
	byService map[string][]*node
	// evacuated holds the failure domains whose servers are not chosen. It is not changed.
	evacuated map[string]bool
	sizes     map[string]float64 // mean response size by route, in bytes
}

// NewSelector returns a Selector without servers for a node at the given locality. The
// Selector uses rnd under its own lock; the caller must not use it afterwards.
func NewSelector(locality Locality, rnd *rand.Rand) *Selector {
	return &Selector{locality: locality, rnd: rnd, nodes: make(map[string]*node), byService: make(map[string][]*node), sizes: make(map[string]float64)}
}

// Set adds or updates the server of a node. Statistics of an earlier incarnation of the
// server are discarded.
func (s *Selector) Set(now time.Time, name string, executor Executor, server Server) {
	server = server.inRange()
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[name]
	if !ok || n.server.Incarnation != server.Incarnation || n.server.Service != server.Service {
		s.remove(name)
		n = &node{name: name}
		s.nodes[name] = n
		s.byService[server.Service] = append(s.byService[server.Service], n)
	}
	n.executor, n.server = executor, server
	n.load.FailureRate, n.reportedAt, n.announcedAt = server.FailureRate, now, now
}

// Remove removes the server of a node if it is reached through the given executor. A
// nil executor matches any.
func (s *Selector) Remove(name string, executor Executor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.nodes[name]; ok && (executor == nil || n.executor == executor) {
		s.remove(name)
	}
}

// remove removes the server of a node, if there is one. The caller holds mu.
func (s *Selector) remove(name string) {
	n, ok := s.nodes[name]
	if !ok {
		return
	}
	delete(s.nodes, name)
	service := n.server.Service
	s.byService[service] = slices.DeleteFunc(s.byService[service], func(other *node) bool { return other == n })
	if len(s.byService[service]) == 0 {
		delete(s.byService, service)
	}
}

// SetEvacuated sets the failure domains whose servers are not chosen, also if there are no
// others. The map must not be changed afterwards.
func (s *Selector) SetEvacuated(domains map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = domains
}

// AllEvacuated reports whether servers of the service are known and all are in evacuated failure
// domains.
func (s *Selector) AllEvacuated(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.byService[service] {
		if !s.evacuated[n.server.FailureDomain] {
			return false
		}
	}
	return len(s.byService[service]) > 0
}

// Query describes the servers that may run a request.
type Query struct {
	Service string
	Route   string
	// Exclude holds the names of nodes that were already tried.
	Exclude []string
	// Version reports whether a server version is accepted; nil accepts all versions.
	Version func(version string) bool
	// TargetIn is the time until the response should have arrived.
	TargetIn time.Duration
	// BodyBytes is the size of the request body.
	BodyBytes int
}

// largeBody returns the size of the request body if it is large, otherwise 0.
func (q Query) largeBody() float64 {
	if q.BodyBytes < largeBodyBytes {
		return 0
	}
	return float64(q.BodyBytes)
}

// Choice is a chosen server. The caller must call Done exactly once, with the response
// that includes the reported load.
type Choice struct {
	Node     string
	Executor Executor
	Server   Server
	// DeliveryTime is the estimated time to transmit a large response from this node to
	// the client.
	DeliveryTime time.Duration
	selector     *Selector
	node         *node
}

// Pick chooses the server with the lowest estimated response time among a random sample
// of the servers in the node's own failure domain, as long as they have room, or else of
// all. It returns false if no server matches the query.
func (s *Selector) Pick(now time.Time, q Query) (Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := excludeOutliers(now, excludeUnresponsive(s.candidates(q)))
	if len(candidates) == 0 {
		return Choice{}, false
	}
	e := newEstimate(now, s.locality, candidates, s.sizes[q.Route], q.largeBody(), q.Route)
	if cold, others, share := coldShare(candidates, e); len(cold) > 0 && len(others) > 0 {
		candidates = others
		if s.rnd.Float64() < share {
			candidates = cold
		}
		e = newEstimate(now, s.locality, candidates, e.size, e.body, q.Route)
	}
	if local, least := localChance(candidates, e, &q); local != nil && s.rnd.Float64() >= least {
		candidates = local
	}
	var best *node
	bestCost := 0.0
	for _, n := range s.sample(candidates, e) {
		cost := e.cost(n) * (1 + jitter*s.rnd.Float64())
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	best.unreported.add(now)
	best.inFlight++
	return Choice{Node: best.name, Executor: best.executor, Server: best.server, DeliveryTime: s.deliveryTime(best, e.size), selector: s, node: best}, true
}

// candidates returns the servers that match the query.
func (s *Selector) candidates(q Query) []*node {
	var out []*node
	for _, n := range s.byService[q.Service] {
		if exclusionOf(n, &q, s.evacuated) == "" {
			out = append(out, n)
		}
	}
	return out
}

// exclusionOf returns why a server does not match the query; empty if it does.
func exclusionOf(n *node, q *Query, evacuated map[string]bool) Exclusion {
	switch {
	case evacuated[n.server.FailureDomain]:
		return Evacuated
	case slices.Contains(q.Exclude, n.name):
		return Tried
	case q.Version != nil && !q.Version(n.server.Version):
		return RolloutVersion
	}
	return ""
}

// sample draws candidates at random, weighted by capacity. Comparing a small sample
// instead of all servers prevents nodes with outdated load reports from sending all
// requests to the same server.
func (s *Selector) sample(candidates []*node, e estimate) []*node {
	if len(candidates) <= sampleSize {
		return candidates
	}
	for drawn := range sampleSize {
		i := drawn + s.draw(candidates[drawn:], e)
		candidates[drawn], candidates[i] = candidates[i], candidates[drawn]
	}
	return candidates[:sampleSize]
}

// draw returns the index of a random candidate, weighted by capacity.
func (s *Selector) draw(candidates []*node, e estimate) int {
	total := 0.0
	for _, n := range candidates {
		total += e.capacity(n)
	}
	at := s.rnd.Float64() * total
	for i, n := range candidates {
		if at -= e.capacity(n); at <= 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// Done records the response of the chosen server, its reported load and the response
// size of the route.
func (c Choice) Done(now time.Time, route string, res call.Response) {
	s := c.selector
	s.mu.Lock()
	defer s.mu.Unlock()
	c.node.inFlight--
	if res.Load.Slots > 0 {
		c.node.load, c.node.reportedAt, c.node.unreported = loadInRange(res.Load), now, unreportedRequests{}
		c.node.loadAt, c.node.times.reportedAt = now, now
		c.node.times.observe(route, c.node.load.ServiceTime.Seconds())
	}
	if res.Answered() {
		size := float64(len(res.Body))
		if known, ok := s.sizes[route]; ok {
			size = known + responseSizeWeight*(size-known)
		}
		s.sizes[route] = size
	}
}

// deliveryTime estimates how long a response of the given size takes from this node to
// the client. For the node's own server, the transfer over this node's link is not
// included, because its admission control accounts for it.
func (s *Selector) deliveryTime(n *node, size float64) time.Duration {
	if size < largeResponseBytes {
		return 0
	}
	took := clientDeliveryTime
	if n.name != s.locality.Node && s.locality.LinkBytesPerSecond > 0 {
		took += time.Duration(size / s.locality.LinkBytesPerSecond * float64(time.Second))
	}
	return took
}
