package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/move"
)

const (
	moveTick         = time.Second
	moveMaxClockSkew = 500 * time.Millisecond
	moveEvidenceLoss = 0.05 // share of evidence reports that are lost
)

// moveResult is the result of one simulated move.
type moveResult struct {
	rolledBack bool
	reason     string
	done       bool
	// detectionDelay is the time from the first sign of the fault to the rollback. It is
	// negative if the rollback came first.
	detectionDelay time.Duration
	// newCalls and badCalls count the calls of the new version and its failed or slow
	// responses since the first sign of the fault; calls counts all calls of the move.
	newCalls, badCalls, calls int
}

// detected reports whether the version was rolled back after the first sign of its fault.
func (r moveResult) detected() bool { return r.rolledBack && r.detectionDelay >= 0 }

// moveSimulation runs a move of one service, with its ingress nodes and deciders, in
// virtual time.
type moveSimulation struct {
	rnd          *rand.Rand
	traffic      moveTraffic
	service      config.Service
	plan         move.Plan
	ingressNodes []*moveIngressNode
	deciders     []*move.Decider
	naive        *naiveDecider
	conditions   []moveCondition
	faultFrom    time.Duration // first sign of the fault; negative until it is known
	result       moveResult
}

// moveIngressNode is a node that sends calls to either version and reports their results.
type moveIngressNode struct {
	splitter  *move.TrafficSplitter
	collector *move.Collector
	skew      time.Duration
	// pendingStates are move states on their way by gossip; each arrives at the time with
	// the same index in arrivals.
	pendingStates []move.State
	arrivals      []time.Time
}

// runMove runs one move until it is rolled back or done, or the window ends.
func runMove(seed uint64, c moveCase, window time.Duration, naive bool) moveResult {
	rnd := rand.New(rand.NewPCG(seed, 0x6d6f766573))
	start := time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC)
	s := &moveSimulation{rnd: rnd, traffic: drawTraffic(rnd)}
	s.service = config.Service{Name: "storefront", Version: "v1", Move: &config.Move{
		ID: fmt.Sprintf("move-%d", seed), To: "v2", AcceptedAt: start, FinishBy: start.Add(window),
	}}
	s.plan, _ = move.PlanOf(s.service)
	s.conditions, s.faultFrom = c.draw(rnd, s.traffic, window)
	for i := range s.traffic.ingressNodes {
		splitter := move.NewTrafficSplitter(move.TrafficSplitterOptions{Rand: rnd.Float64})
		splitter.SetPlans(start, []move.Plan{s.plan})
		s.ingressNodes = append(s.ingressNodes, &moveIngressNode{
			splitter:  splitter,
			collector: move.NewCollector(fmt.Sprintf("entrance-%d", i), 1, splitter, nil),
			skew:      time.Duration((2*rnd.Float64() - 1) * float64(moveMaxClockSkew)),
		})
	}
	var routes []string
	for _, r := range s.traffic.routes {
		routes = append(routes, r.name)
	}
	if naive {
		s.naive = newNaiveDecider(s.plan)
	} else {
		for i := range move.DeciderCount {
			s.deciders = append(s.deciders, move.NewDecider(s.plan, move.DeciderOptions{
				Self: fmt.Sprintf("entrance-%d", i), Routes: routes,
			}))
		}
	}
	for at := time.Duration(0); at < window && !s.result.rolledBack && !s.result.done; at += moveTick {
		s.serve(start, at)
		s.decide(start.Add(at + moveTick))
	}
	return s.result
}

// serve runs the calls of one tick.
func (s *moveSimulation) serve(start time.Time, at time.Duration) {
	for _, node := range s.ingressNodes {
		for i, route := range s.traffic.routes {
			for range poisson(s.rnd, route.rate/float64(len(s.ingressNodes)), moveTick) {
				offset := at + time.Duration(s.rnd.Int64N(int64(moveTick)))
				s.call(node, start, offset, i, route.name)
			}
		}
	}
}

// call runs one call at a time since the start of the move. The last condition is the
// fault of a bad version, so the probabilities before it show whether it has an effect.
func (s *moveSimulation) call(node *moveIngressNode, start time.Time, at time.Duration, route int, name string) {
	now := start.Add(at + node.skew)
	version := node.splitter.Version(now, s.service, name)
	c := moveCall{at: at, route: route, isNew: version == s.plan.To}
	if c.isNew {
		c.share = node.splitter.Share(now, s.plan)
	}
	failing, slowness := s.traffic.failureRate, s.traffic.slowRate
	plainFailing, plainSlow := failing, slowness
	for i, condition := range s.conditions {
		if i == len(s.conditions)-1 {
			plainFailing, plainSlow = failing, slowness
		}
		failing, slowness = condition(c, failing, slowness)
	}
	failed := s.rnd.Float64() < failing
	slow := s.rnd.Float64() < slowness
	node.collector.Observed(now, s.service.Name, name, version, failed, slow)
	s.result.calls++
	if !c.isNew {
		return
	}
	if s.faultFrom < 0 && (failing > plainFailing || slowness > plainSlow) {
		s.faultFrom = at
	}
	if s.faultFrom >= 0 && at >= s.faultFrom {
		s.result.newCalls++
		if failed || slow {
			s.result.badCalls++
		}
	}
	if s.naive != nil {
		s.naive.observe(now, name, failed, slow)
	}
}

// decide delivers the evidence reports to the deciders, runs these, and delivers the move
// states that have arrived at ingress nodes.
func (s *moveSimulation) decide(now time.Time) {
	if s.naive != nil {
		s.broadcast(now, s.naive.decide(now))
	}
	var reports []move.Report
	for _, node := range s.ingressNodes {
		reports = append(reports, node.collector.PendingReports(now.Add(node.skew))...)
	}
	for i, d := range s.deciders {
		for _, p := range reports {
			if s.rnd.Float64() >= moveEvidenceLoss {
				_ = d.Merge(p)
			}
		}
		d.SetUpstreams(now, s.traffic.upstreams, s.traffic.upstreams)
		decided := d.Decide(now.Add(s.ingressNodes[i].skew))
		s.broadcast(now, decided.State)
	}
	for _, node := range s.ingressNodes {
		node.deliver(now)
	}
}

// broadcast sends a move state to all deciders at once and to all ingress nodes with a
// gossip delay of up to 1.5 s. It records the outcome in the result.
func (s *moveSimulation) broadcast(now time.Time, m move.State) {
	if m.RolledBack && !s.result.rolledBack {
		s.result.rolledBack, s.result.reason = true, m.Reason
		s.result.detectionDelay = now.Sub(s.plan.AcceptedAt) - s.faultFrom
		if s.faultFrom < 0 {
			s.result.detectionDelay = -1
		}
	}
	s.result.done = s.result.done || m.Done && !m.RolledBack
	for _, d := range s.deciders {
		d.MergeState(m)
	}
	for _, node := range s.ingressNodes {
		if n := len(node.pendingStates); n > 0 && node.pendingStates[n-1].Covers(m) || n == 0 && node.splitter.State(m.Move).Covers(m) {
			continue
		}
		node.pendingStates = append(node.pendingStates, m)
		node.arrivals = append(node.arrivals, now.Add(time.Duration(s.rnd.Int64N(int64(1500*time.Millisecond)))))
	}
}

// deliver merges the move states that have arrived by now.
func (n *moveIngressNode) deliver(now time.Time) {
	for len(n.pendingStates) > 0 && !n.arrivals[0].After(now) {
		n.splitter.MergeState(n.pendingStates[0])
		n.pendingStates, n.arrivals = n.pendingStates[1:], n.arrivals[1:]
	}
}
