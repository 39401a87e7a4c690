package placement

import (
	"slices"
	"strings"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// Candidate is a server of the service of a query as the selector knows it.
type Candidate struct {
	Node   string
	Server Server
	// AnnouncedAt is when Server was announced.
	AnnouncedAt time.Time
	// Load is valid if LoadAt, the time of the report, is not zero.
	Load   call.Load
	LoadAt time.Time
	// FailureRate is the last reported one, decayed with the age of the report.
	FailureRate   float64
	FailureRateAt time.Time
	// InFlight is the number of this node's requests without an outcome; Unreported those sent since
	// the last report, decayed with their age.
	InFlight   int
	Unreported float64
	// RouteTime is the service time of the route, RouteTimeAt when it was reported; zero if it is
	// assumed.
	RouteTime   time.Duration
	RouteTimeAt time.Time
	// Network is the part of Cost that the network adds.
	Network time.Duration
	// Cost is the estimated response time by which the selector compares servers.
	Cost time.Duration
	// DeliveryTime is that of a Choice of the server.
	DeliveryTime time.Duration
	// Responsive means that the server's node is known to receive requests.
	Responsive bool
	Exclusion  Exclusion
	// Probability is that of being chosen.
	Probability float64
}

// Explain returns the servers of the service, by node, and with which probability Pick would choose
// each of them now. It changes nothing, and holds the lock only while it copies the servers.
func (s *Selector) Explain(now time.Time, q Query) []Candidate {
	nodes, evacuated, size := s.copyNodes(q)
	var matching []*node
	excluded := make(map[*node]Exclusion)
	for _, n := range nodes {
		if why := exclusionOf(n, &q, evacuated); why != "" {
			excluded[n] = why
			continue
		}
		matching = append(matching, n)
	}
	exclude := func(from, kept []*node, why Exclusion) {
		for _, n := range from {
			if !slices.Contains(kept, n) {
				excluded[n] = why
			}
		}
	}
	responsive := excludeUnresponsive(matching)
	exclude(matching, responsive, NotLinked)
	candidates := excludeOutliers(now, responsive)
	exclude(responsive, candidates, Failing)

	e := newEstimate(now, s.locality, candidates, size, q.largeBody(), q.Route)
	chances := make(map[*node]float64)
	estimates := make(map[*node]estimate)
	if cold, others, share := coldShare(candidates, e); len(cold) > 0 && len(others) > 0 {
		if share == 0 {
			exclude(cold, nil, AtColdLimit)
		}
		for _, group := range []struct {
			nodes []*node
			share float64
		}{{cold, share}, {others, 1 - share}} {
			of := newEstimate(now, s.locality, group.nodes, size, e.body, q.Route)
			addChances(chances, group.nodes, of, &q, group.share)
			for _, n := range group.nodes {
				estimates[n] = of
			}
		}
	} else {
		addChances(chances, candidates, e, &q, 1)
	}
	out := make([]Candidate, 0, len(nodes))
	for _, n := range nodes {
		of, ok := estimates[n]
		if !ok {
			of = e
		}
		c := of.describe(n)
		c.Exclusion, c.Probability, c.DeliveryTime = excluded[n], chances[n], s.deliveryTime(n, size)
		if _, compared := chances[n]; c.Exclusion == "" && c.Probability == 0 {
			c.Exclusion = StaysLocal
			if compared {
				c.Exclusion = Slower
			}
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Candidate) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// copyNodes returns copies of the service's nodes with the service time of the query's route, the
// evacuated failure domains and the expected size of the response.
func (s *Selector) copyNodes(q Query) (nodes []*node, evacuated map[string]bool, size float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.byService[q.Service] {
		c := *n
		c.times.byRoute = nil
		if known, ok := n.times.byRoute[q.Route]; ok {
			c.times.byRoute = map[string]routeTime{q.Route: known}
		}
		nodes = append(nodes, &c)
	}
	return nodes, s.evacuated, s.sizes[q.Route]
}

// describe returns what is known of a server, with its cost.
func (e estimate) describe(n *node) Candidate {
	seconds := func(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
	return Candidate{
		Node: n.name, Server: n.server, AnnouncedAt: n.announcedAt, Load: n.load, LoadAt: n.loadAt,
		FailureRate: n.failureRate(e.now), FailureRateAt: n.reportedAt, InFlight: n.inFlight, Unreported: n.unreported.at(e.now),
		RouteTime: seconds(e.routeTime(n)), RouteTimeAt: n.times.byRoute[e.route].at,
		Network: seconds(e.network(n, e.now.Sub(n.reportedAt).Seconds())), Cost: seconds(e.cost(n)), Responsive: n.executor.Responsive(),
	}
}

// addChances adds the probabilities with which the candidates are chosen, if one of them is chosen
// with the given probability. Servers that may be compared with others are in chances afterwards, also
// with a probability of 0.
func addChances(chances map[*node]float64, candidates []*node, e estimate, q *Query, probability float64) {
	local, least := localChance(candidates, e, q)
	stays := 0.0
	if local != nil {
		stays = 1 - min(least, 1)
		addSampleChances(chances, local, e, probability*stays)
	}
	addSampleChances(chances, candidates, e, probability*(1-stays))
}

// The probabilities below are those of a sample of two servers.
var _ = [1]struct{}{}[sampleSize-2]

// addSampleChances adds the probabilities with which the candidates are drawn and then have the
// least cost of the sample.
func addSampleChances(chances map[*node]float64, candidates []*node, e estimate, probability float64) {
	if probability == 0 || len(candidates) == 0 {
		return
	}
	if len(candidates) == 1 {
		chances[candidates[0]] += probability
		return
	}
	weights, costs, total := make([]float64, len(candidates)), make([]float64, len(candidates)), 0.0
	for i, n := range candidates {
		weights[i], costs[i] = e.capacity(n), e.cost(n)
		total += weights[i]
	}
	for i := range candidates {
		others := 0.0
		for j := range candidates {
			if j != i {
				others += weights[j]
			}
		}
		for j := range candidates {
			if j == i {
				continue
			}
			pair := weights[i] / total * weights[j] / others // i is drawn first, then j
			if len(candidates) == 2 {
				pair = 0.5 // both are compared
			}
			first := cheaperChance(costs[i], costs[j])
			chances[candidates[i]] += probability * pair * first
			chances[candidates[j]] += probability * pair * (1 - first)
		}
	}
}

// cheaperChance returns the probability that a cost a, increased at random by up to jitter, is below
// a cost b that is increased likewise.
func cheaperChance(a, b float64) float64 {
	if a > b {
		return 1 - cheaperChance(b, a)
	}
	highA, highB := a*(1+jitter), b*(1+jitter)
	if highA <= b {
		return 1
	}
	overlap := ((highB-b)*(highB-b) - (highB-highA)*(highB-highA)) / (2 * (highB - b))
	return (b - a + overlap) / (highA - a)
}
