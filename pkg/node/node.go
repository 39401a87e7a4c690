// Package node implements a node of the mesh: it builds the node's components and
// connects them with bounded channels.
package node

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/accept"
	"corianderwood.example/corianderwood/pkg/balance"
	"corianderwood.example/corianderwood/pkg/gossip"
	"corianderwood.example/corianderwood/pkg/keys"
	"corianderwood.example/corianderwood/pkg/limit"
	"corianderwood.example/corianderwood/pkg/member"
	"corianderwood.example/corianderwood/pkg/move"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/proxy"
	"corianderwood.example/corianderwood/pkg/settings"
	"corianderwood.example/corianderwood/pkg/snapshot"
	"corianderwood.example/corianderwood/pkg/upstream"
)

// Node is one node of the mesh. Its components are safe for concurrent use unless a
// field's comment names the owner.
type Node struct {
	settings settings.Settings
	self     member.Member
	gatherer prometheus.Gatherer
	metrics  *metrics
	keys     *keys.Reloader

	table    platform.Table
	acceptor *accept.Acceptor
	platform *platformState

	agent            *gossip.Agent
	store            *snapshot.Store
	held             atomic.Pointer[gossip.Revision] // newest complete revision, even if rejected
	ready            readiness
	minRevisionKnown chan struct{} // closed by runMinRevision when it succeeds

	balancer      *balance.Balancer
	unreachable   chan string // instances for runReports
	endpointsMu   sync.Mutex  // guards knownServices and endpointSince
	knownServices map[string]bool
	endpointSince map[endpointKey]time.Time
	available     atomic.Pointer[map[serviceVersion]bool] // versions with a usable upstream

	registry     *upstream.Registry
	limiter      *limit.Limiter
	callerServer *proxy.CallerServer
	peers        *proxy.PeerServer
	// peerListener is set by listen, before peers starts to serve.
	peerListener *limit.Listener

	splitter    *move.TrafficSplitter
	collector   *move.Collector
	recorder    *move.Recorder
	moveMetrics *move.Metrics
	reports     chan move.Report
	outcomes    chan move.Outcome
}

// New creates a node from settings returned by settings.Load. It opens the control
// socket, but nothing is served until Run is called.
func New(s settings.Settings) (*Node, error) {
	registry := newRegistry()
	n := &Node{
		settings: s, self: selfOf(s), gatherer: registry, metrics: newMetrics(registry),
		store: snapshot.NewStore(), minRevisionKnown: make(chan struct{}),
		knownServices: map[string]bool{}, endpointSince: map[endpointKey]time.Time{},
		unreachable: make(chan string, reportQueue),
		reports:     make(chan move.Report, evidenceQueue), outcomes: make(chan move.Outcome, outcomeQueue),
	}
	n.platform = &platformState{metrics: n.metrics}
	var err error
	if n.keys, err = keys.NewReloader(keys.Files{CA: s.TLS.CA, Certificate: s.TLS.Certificate, Key: s.TLS.Key}); err != nil {
		return nil, err
	}
	if err := n.buildPlatform(); err != nil {
		return nil, err
	}
	if err := n.buildAgent(registry); err != nil {
		return nil, err
	}
	n.buildMoves(registry)
	n.buildCalls(registry)
	return n, nil
}

// selfOf returns the node as a member. Its incarnation is the start time in milliseconds;
// the agent raises it above any incarnation of this instance that peers know.
func selfOf(s settings.Settings) member.Member {
	return member.Member{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Region: s.Region,
		ControlAddr: s.Listen.Control, CallAddr: s.Listen.Peers,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
}

// newRand returns a randomly seeded generator. It is not safe for concurrent use.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
