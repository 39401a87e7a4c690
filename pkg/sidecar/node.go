package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"corianderwood.example/corianderwood/pkg/admission"
	"corianderwood.example/corianderwood/pkg/backend"
	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/dispatch"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/ingress"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/placement"
	"corianderwood.example/corianderwood/pkg/rollout"
	"corianderwood.example/corianderwood/pkg/routing"
	"corianderwood.example/corianderwood/pkg/rowcache"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// Node is one node of the mesh. New sets all fields; each component synchronizes access
// to its own state.
type Node struct {
	settings Settings
	deploy   Deployment
	process  uint64 // random id of this process
	// startedAt is when New created the node.
	startedAt time.Time

	cache        *rowcache.Cache
	tracker      *instance.Tracker
	admission    *admission.Controller
	client       *backend.Client // of the local server
	running      *admission.InFlight
	selector     *placement.Selector
	rollouts     *rollout.Tracker
	recorder     *rollout.Recorder
	dispatcher   *dispatch.Dispatcher
	refusals     *dispatch.Metrics
	ingress      *ingress.Server
	peers        *peers
	departures   *departureRecorder
	starting     startGate
	startRows    *startRows
	recheck      chan struct{} // holds a value if applyRows has to run although no row has changed
	confirmation *heartbeatConfirmation
	uplink       *uplink.Scheduler
	links        link.Shared
	limits       *accountLimits
	usage        *accountUsage
	memory       heldMemory
	shares       *accountShares
	election     *followerElection
	encoded      encodedRows
	metrics      *metrics
	freshness    *freshnessMonitor // nil if not required
	freezes      *freezeMonitor    // nil if not required
	registry     *prometheus.Registry

	routingTable atomic.Pointer[routing.Table]
	// newestConfiguration is the newest version of the configuration that a peer has announced as
	// in force.
	newestConfiguration atomic.Uint64
	closing             atomic.Bool // the node is stopping and is reported as not ready
	refusing            atomic.Bool // new client requests are refused
	failing             atomic.Bool // the local server's high failure rate was announced to peers
	// drainReported is set when a peer has reported that the local server is draining;
	// PreviousServer restores no state from then on.
	drainReported atomic.Bool
	notice        lastNotice
	cold          reportedColdness
	limitReport   limitReport
	// evacuated holds the evacuated failure domains, evacuations decides on them, and
	// evacuationEnd makes applyRows run when one ends by itself. applyRows owns all three.
	evacuated     map[string]bool
	evacuations   evacuations
	evacuationEnd *time.Timer
	// evacuatedSince holds since when this process knows of each evacuation. The map is not changed.
	evacuatedSince atomic.Pointer[map[string]time.Time]
	malformed      *rate.Limiter
	otherNodes     atomic.Int64 // number of other nodes in the mesh
	following      sync.Map     // names of the tables whose feed this node follows
	// announced is the state of the local server that was last sent to peers.
	announced atomic.Pointer[link.ServerState]
}

// New creates a node. The settings must have passed Settings.Check.
func New(s Settings, d Deployment) *Node {
	n := &Node{
		settings: s, deploy: d, process: rand.Uint64(), startedAt: time.Now(),
		cache:     rowcache.New(d.RowCodec.Table(), meshTable),
		tracker:   instance.NewTracker(maxMissedHeartbeats * s.Heartbeat),
		selector:  placement.NewSelector(placement.Locality{Node: s.Node, FailureDomain: s.FailureDomain, LinkBytesPerSecond: s.LinkBytesPerSecond}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		rollouts:  rollout.NewTracker(rollout.Bounds{Share: s.Bounds.ExposureShare, Extra: s.Bounds.ExposureExtra}),
		registry:  prometheus.NewRegistry(),
		encoded:   encodedRows{byTable: make(map[string]encodedTable)},
		malformed: rate.NewLimiter(malformedLogRate, malformedLogRate),
		usage:     newAccountUsage(time.Now()),
	}
	n.uplink = uplink.New(s.LinkBytesPerSecond)
	n.memory = newHeldMemory(s)
	memory := n.memory.all
	n.links = link.Shared{Uplink: n.uplink, Bodies: n.memory.links, Metrics: link.NewMetrics(n.registry)}
	n.links.Downlink = link.NewDownlink(s.LinkBytesPerSecond, n.links.Metrics)
	n.election = newFollowerElection(follower{name: s.Node, failureDomain: s.FailureDomain, linkBytesPerSecond: s.LinkBytesPerSecond})
	n.recorder = rollout.NewRecorder(n.process)
	n.startRows, n.recheck = newStartRows(n), make(chan struct{}, 1)
	n.metrics = newMetrics(n.registry, d.DroppedLogLines)
	n.registry.MustRegister(contain.Collector())
	n.freshness = newFreshnessMonitor(n)
	n.running = admission.NewInFlight()
	n.client = backend.NewClient(backend.Options{
		Address: s.ServerAddress, Headers: d.Headers, Notice: d.ServerNotice, Bodies: n.memory.responses,
		Metrics: backend.NewMetrics(n.registry), Broken: n.serverBroke,
	})
	n.freezes = newFreezeMonitor(n)
	var freezes admission.Freezes
	if n.freezes != nil {
		freezes = n.freezes
	}
	n.admission = admission.New(admission.Options{
		Freezes: freezes,
		Tracker: n.tracker, Client: n.client, FailureDomain: s.FailureDomain,
		Ledger: ledger.New(ledger.Options{Metrics: ledger.NewMetrics(n.registry)}),
		Drain:  s.Bounds.Drain, Observer: (*observer)(n), Running: n.running, Uplink: n.uplink,
		Weight: (&accountWeights{table: n.routingTable.Load}).weight,
	})
	var fresh func() bool
	if n.freshness != nil {
		fresh = n.freshness.fresh
	}
	n.shares = newAccountShares(n)
	n.limits = newAccountLimits(n)
	n.registerLearnedLimit(n.registry)
	n.refusals = dispatch.NewMetrics(n.registry)
	n.dispatcher = dispatch.New(dispatch.Options{
		Service: s.Service, Nested: n.nested, NestedID: n.nestedID, Headers: d.Headers, Stopping: n.refusing.Load, Table: n.routingTable.Load, Fresh: fresh,
		Selector: n.selector, Rollouts: n.rollouts, Process: n.process, Retries: n.retryBound(), Metrics: n.refusals, Memory: memory,
		Limiter: n.limits, Accounts: n.usage,
	})
	n.ingress = ingress.NewServer(n.dispatcher, n.messageLimits, n.uplink, n.memory.requests)
	n.ingress.LimitConnections(s.connections(clientConnectionShare))
	n.ingress.Observe(ingress.NewMetrics(n.registry))
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "corianderwood_held_memory_bytes", Help: "Memory held for clients, the local server and other nodes, as counted against its limit.",
	}, func() float64 { return float64(memory.Used()) }))
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "corianderwood_held_memory_limit_bytes", Help: "Limit of the memory held for others.",
	}, func() float64 { return float64(memory.Limit()) }))
	n.peers = newPeers(n)
	n.departures = newDepartureRecorder(n)
	n.cold.log = event.NewLimitedLog(coldLogRate, coldLogRate)
	n.confirmation = newHeartbeatConfirmation(n.startedAt, s)
	return n
}

// retryBound returns the retry limit of this node. The extra retries that the deployment
// allows are divided among all known nodes.
func (n *Node) retryBound() dispatch.RetryBound {
	b := n.settings.Bounds
	return dispatch.RetryBound{Ratio: b.RetryRatio, Window: b.RetryWindow, Extra: func() float64 {
		return extraRetriesShare * b.RetryExtra / float64(n.otherNodes.Load()+1)
	}}
}

func (n *Node) messageLimits() routing.Limits {
	if t := n.routingTable.Load(); t != nil {
		return t.Limits
	}
	return routing.DefaultLimits
}

// nested reports whether the local server sent the request while it was processing
// another one.
func (n *Node) nested(id string) bool {
	parent, ok := n.deploy.ParentID(id)
	return ok && n.running.Contains(parent)
}

// nestedID reports whether a server may have sent the request with the id while it was processing
// another one.
func (n *Node) nestedID(id string) bool {
	_, ok := n.deploy.ParentID(id)
	return ok
}

// ready reports whether the node accepts client requests.
func (n *Node) ready() bool { return n.routingTable.Load() != nil && !n.closing.Load() }

// every calls f at each tick until ctx ends.
func every(ctx context.Context, t ticker, f func()) {
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
