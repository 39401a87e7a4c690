package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// Selector holds the servers that take requests. It is safe for concurrent use; mu
// guards the state.
type Selector struct {
	place Locality

	mu    sync.Mutex
	rnd   *rand.Rand
	nodes map[string]*node
	sizes map[string]float64 // mean response size by route, in bytes
}

// NewSelector returns a board without servers for a node at a place.
func NewSelector(place Locality, rnd *rand.Rand) *Selector {
	return &Selector{place: place, rnd: rnd, nodes: make(map[string]*node), sizes: make(map[string]float64)}
}

// Set makes a node's server available. What was observed of another incarnation
// is forgotten.
func (b *Selector) Set(now time.Time, name string, gate Executor, server Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, ok := b.nodes[name]
	if !ok || n.server.Incarnation != server.Incarnation {
		n = &node{name: name}
		b.nodes[name] = n
	}
	n.gate, n.server = gate, server
	n.load.FailureRate, n.reportedAt = server.FailureRate, now
}

// Remove takes a node's server out if it is still reached through the gate; nil
// stands for any gate.
func (b *Selector) Remove(name string, gate Executor) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n, ok := b.nodes[name]; ok && (gate == nil || n.gate == gate) {
		delete(b.nodes, name)
	}
}

// Query asks for a server.
type Query struct {
	Service string
	Route   string
	// Exclude holds names of nodes that were tried.
	Exclude []string
	// Version accepts servers by their version; nil accepts all.
	Version func(version string) bool
}

// Choice is a chosen server. Done must be called once with the load that the
// gate reported.
type Choice struct {
	Node     string
	Executor Executor
	Server   Server
	// Delivery is the time that a large response needs from this node to the client.
	Delivery time.Duration
	board    *Selector
	node     *node
}

// Pick chooses the server with the lowest estimated time to a response.
func (b *Selector) Pick(now time.Time, q Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := withoutOutliers(now, b.candidates(q))
	usual := 0.0
	for _, n := range candidates {
		usual += n.utilisation() / float64(len(candidates))
	}
	var best *node
	bestCost := 0.0
	size := b.sizes[q.Route]
	for _, n := range b.sample(now, candidates, size) {
		cost := n.cost(now, b.place, size, usual) * (1 + jitter*b.rnd.Float64())
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	best.unreported++
	best.inFlight++
	return Choice{Node: best.name, Executor: best.gate, Server: best.server, Delivery: b.delivery(best, size), board: b, node: best}, true
}

// candidates returns the servers that may take the request.
func (b *Selector) candidates(q Query) []*node {
	var out []*node
	for _, n := range b.nodes {
		if n.server.Service == q.Service && !slices.Contains(q.Exclude, n.name) && (q.Version == nil || q.Version(n.server.Version)) {
			out = append(out, n)
		}
	}
	return out
}

// sample draws candidates in proportion to their capacity. Comparing a few drawn
// ones instead of all keeps nodes whose reports are old from crowding one server.
// For large responses the node's own server is compared if it is a candidate, which
// saves the link between two instances, and otherwise one of the own failure domain.
func (b *Selector) sample(now time.Time, candidates []*node, size float64) []*node {
	if len(candidates) <= sampleSize {
		return candidates
	}
	drawn := 0
	if size >= largeResponse {
		own := func(n *node) bool { return n.name == b.place.Node }
		local := func(n *node) bool { return n.server.FailureDomain == b.place.FailureDomain }
		i := b.draw(now, candidates, size, own)
		if i < 0 {
			i = b.draw(now, candidates, size, local)
		}
		if i >= 0 {
			candidates[0], candidates[i] = candidates[i], candidates[0]
			drawn = 1
		}
	}
	for ; drawn < sampleSize; drawn++ {
		i := drawn + b.draw(now, candidates[drawn:], size, func(*node) bool { return true })
		candidates[drawn], candidates[i] = candidates[i], candidates[drawn]
	}
	return candidates[:sampleSize]
}

// draw returns the index of a candidate drawn by capacity; -1 if none fits.
func (b *Selector) draw(now time.Time, candidates []*node, size float64, fits func(*node) bool) int {
	total, last := 0.0, -1
	for i, n := range candidates {
		if fits(n) {
			total += n.capacity(now, size)
			last = i
		}
	}
	at := b.rnd.Float64() * total
	for i, n := range candidates {
		if !fits(n) {
			continue
		}
		if at -= n.capacity(now, size); at <= 0 {
			return i
		}
	}
	return last
}

// Done records the outcome of a request at the chosen server.
func (c Choice) Done(now time.Time, route string, res call.Response) {
	b := c.board
	b.mu.Lock()
	defer b.mu.Unlock()
	c.node.inFlight--
	if res.Load.Slots > 0 {
		c.node.load, c.node.reportedAt, c.node.unreported = res.Load, now, 0
	}
	if res.Answered() {
		size := float64(len(res.Body))
		if known, ok := b.sizes[route]; ok {
			size = known + sizeWeight*(size-known)
		}
		b.sizes[route] = size
	}
}

// delivery estimates how long a response of the given size takes from this node to
// the client. From the own server it has passed the link once already.
func (b *Selector) delivery(n *node, size float64) time.Duration {
	if size < largeResponse {
		return 0
	}
	took := clientDelivery
	if n.name != b.place.Node && b.place.LinkBytesPerSecond > 0 {
		took += time.Duration(size / b.place.LinkBytesPerSecond * float64(time.Second))
	}
	return took
}
