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
	"corianderwood.example/corianderwood/pkg/dispatch"
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

// Node is one node of the mesh on the deployment's instances. Every field is set
// by New; the parts guard their own state.
type Node struct {
	settings Settings
	deploy   Deployment
	process  uint64 // identifies this start
	// startedAt is when the process was set up.
	startedAt time.Time

	cache    *rowcache.Cache
	tracker  *instance.Tracker
	gate     *admission.Controller
	running  *admission.InFlight
	board    *placement.Selector
	rollouts *rollout.Tracker
	recorder *rollout.Recorder
	entrance *dispatch.Dispatcher
	ingress  *ingress.Server
	peers    *peers
	uplink   *uplink.Scheduler
	duty     *followDuty
	packed   packedRows
	metrics  *metrics
	registry *prometheus.Registry

	table    atomic.Pointer[routing.Table]
	closing  atomic.Bool // no new work is wanted
	refusing atomic.Bool // requests of clients are refused
	failing  atomic.Bool // peers were told that the server fails many requests
	// recallEnded tells that a peer knows of the leave of the server beside the node.
	recallEnded atomic.Bool
	malformed   *rate.Limiter
	nodes       atomic.Int64 // other nodes of the mesh
	following   sync.Map     // tables whose feed this node follows
	announced   atomic.Pointer[link.ServerState]
}

// New builds a node from checked settings.
func New(s Settings, d Deployment) *Node {
	n := &Node{
		settings: s, deploy: d, process: rand.Uint64(), startedAt: time.Now(),
		cache:     rowcache.New(d.RowCodec.Table(), meshTable),
		tracker:   instance.NewTracker(heartbeatsMissed * s.Heartbeat),
		board:     placement.NewSelector(placement.Locality{Node: s.Node, FailureDomain: s.FailureDomain, LinkBytesPerSecond: s.LinkBytesPerSecond}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		rollouts:  rollout.NewTracker(rollout.Bounds{Share: s.Bounds.ExposureShare, Extra: s.Bounds.ExposureExtra}),
		registry:  prometheus.NewRegistry(),
		packed:    packedRows{byTable: make(map[string]packedTable)},
		malformed: rate.NewLimiter(malformedLogRate, malformedLogRate),
	}
	n.uplink = uplink.New(s.LinkBytesPerSecond)
	n.duty = newFollowDuty(follower{name: s.Node, failureDomain: s.FailureDomain, linkBytesPerSecond: s.LinkBytesPerSecond})
	n.recorder = rollout.NewRecorder(n.process)
	n.metrics = newMetrics(n.registry, d.DroppedLogLines)
	n.running = admission.NewInFlight()
	n.gate = admission.New(admission.Options{
		Tracker: n.tracker, Client: backend.NewClient(s.ServerAddress, d.Headers),
		Ledger: ledger.New(ledger.Options{Metrics: ledger.NewMetrics(n.registry)}),
		Drain:  s.Bounds.Drain, Observer: (*observer)(n), Running: n.running, Uplink: n.uplink,
	})
	n.entrance = dispatch.New(dispatch.Options{
		Service: s.Service, Nested: n.nested, Headers: d.Headers, Stopping: n.refusing.Load, Table: n.table.Load,
		Selector: n.board, Rollouts: n.rollouts, Process: n.process, Retries: n.retryBound(), Metrics: dispatch.NewMetrics(n.registry),
	})
	n.ingress = ingress.NewServer(n.entrance, n.limits, n.uplink)
	n.peers = newPeers(n)
	return n
}

// retryBound returns the bound on repeats with this node's part of the extra ones.
func (n *Node) retryBound() dispatch.RetryBound {
	b := n.settings.Bounds
	return dispatch.RetryBound{Ratio: b.RetryRatio, Window: b.RetryWindow, Extra: func() float64 {
		return extraRepeatsShare * b.RetryExtra / float64(n.nodes.Load()+1)
	}}
}

func (n *Node) limits() routing.Limits {
	if t := n.table.Load(); t != nil {
		return t.Limits
	}
	return routing.DefaultLimits
}

// nested reports whether the server beside the node made a request while it ran
// another one.
func (n *Node) nested(id string) bool {
	parent, ok := n.deploy.ParentID(id)
	return ok && n.running.Contains(parent)
}

// ready reports whether clients may send requests here.
func (n *Node) ready() bool { return n.table.Load() != nil && !n.closing.Load() }

// every calls f at an interval until the context ends.
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
