package node

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"corianderwood.example/corianderwood/pkg/accept"
	"corianderwood.example/corianderwood/pkg/balance"
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/gossip"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/limit"
	"corianderwood.example/corianderwood/pkg/move"
	"corianderwood.example/corianderwood/pkg/peer"
	"corianderwood.example/corianderwood/pkg/platform/aws"
	"corianderwood.example/corianderwood/pkg/proxy"
	"corianderwood.example/corianderwood/pkg/retry"
	"corianderwood.example/corianderwood/pkg/snapshot"
	"corianderwood.example/corianderwood/pkg/upstream"
)

// newRegistry returns a registry with the metrics of the Go runtime, of the process, and
// of the packages that hold their metrics in package variables.
func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, list := range [][]prometheus.Collector{
		snapshot.Collectors(), accept.Collectors(), aws.Collectors(),
		balance.Collectors(), limit.Collectors(), retry.Collectors(), {contain.Collector()},
	} {
		registry.MustRegister(list...)
	}
	return registry
}

func (n *Node) buildPlatform() error {
	c, err := readCredentials(n.settings.Platform.CredentialsFile)
	if err != nil {
		return err
	}
	p := n.settings.Platform
	options := aws.Options{
		Endpoint: p.TableEndpoint, Region: p.Region, TableName: p.Table, Bucket: p.Bucket,
		AccessKeyID: c.AccessKeyID, SecretAccessKey: c.SecretAccessKey,
	}
	table, _, err := aws.New(options)
	if err != nil {
		return err
	}
	options.Endpoint = p.ObjectEndpoint
	_, objects, err := aws.New(options)
	if err != nil {
		return err
	}
	n.table = table
	n.acceptor = accept.New(table, objects, accept.Options{
		Replicate: func(ctx context.Context, h config.Head, bodies map[string][]byte) []string {
			return n.agent.Publish(ctx, h, bodies)
		},
		Outcome:     n.moveResult,
		LocalBody:   n.heldBody,
		CallTimeout: p.RequestTimeout.Std(),
	})
	return nil
}

// heldBody returns a section body of the newest complete revision.
func (n *Node) heldBody(hash string) ([]byte, bool) {
	held := n.held.Load()
	if held == nil {
		return nil, false
	}
	body, ok := held.Bodies[hash]
	return body, ok
}

func (n *Node) buildAgent(registry prometheus.Registerer) error {
	link, err := peer.New(peer.Options{Addr: n.self.ControlAddr, TLS: n.keys.LinkConfig, Registerer: registry})
	if err != nil {
		return err
	}
	n.agent = gossip.NewAgent(n.self, link, gossip.Options{Registerer: registry})
	return nil
}

func (n *Node) buildMoves(registry prometheus.Registerer) {
	n.moveMetrics = move.NewMetrics(registry)
	n.splitter = move.NewTrafficSplitter(move.TrafficSplitterOptions{Available: n.versionAvailable, Started: time.Now()})
	n.collector = move.NewCollector(n.self.Instance, n.self.Incarnation, n.splitter, n.moveMetrics)
	n.recorder = move.NewRecorder(n.table, n.moveMetrics)
}

func (n *Node) buildCalls(registry prometheus.Registerer) {
	n.balancer = balance.New(balance.Locality{FailureDomain: n.self.FailureDomain, Region: n.self.Region}, newRand())
	n.registry = upstream.NewRegistry(upstream.NewMetrics(registry))
	n.limiter = limit.New(config.Limits{})
	callMetrics := proxy.NewMetrics(registry)
	n.callerServer = proxy.NewCallerServer(proxy.CallerOptions{
		ProcessID: processID(),
		Resolver:  resolver{proxy.SnapshotResolver{Store: n.store}, &n.ready},
		Versions:  n.splitter,
		Observer:  n.collector,
		Balancer:  n.callBalancer(),
		Policies:  proxy.NewPolicySet(newRand()),
		PeerTLS:   n.keys.NodeConfig(),
		Metrics:   callMetrics,
	})
	n.peers = proxy.NewPeerServer(proxy.PeerOptions{
		Target:   proxy.Target{Instance: n.self.Instance, Incarnation: n.self.Incarnation},
		Upstream: proxy.RegistryUpstreamSource{Registry: n.registry},
		Limiter:  n.limiter,
		Ledger:   ledger.New(ledger.Options{Metrics: ledger.NewMetrics(registry)}),
		TLS:      n.keys.NodeConfig(),
		Metrics:  callMetrics,
		ConnState: func(conn net.Conn, state http.ConnState) {
			n.peerListener.ConnState(conn, state)
		},
	})
}

// callBalancer returns the Balancer of calls.
func (n *Node) callBalancer() proxy.Balancer {
	return reportingBalancer{n.balancer, n.unreachable}
}

// processID returns a random number that identifies this process.
func processID() uint64 {
	var id [8]byte
	_, _ = cryptorand.Read(id[:]) // documented to never return an error
	return binary.BigEndian.Uint64(id[:])
}

// resolver is a SnapshotResolver that refuses calls while the node is not ready.
type resolver struct {
	proxy.SnapshotResolver
	ready *readiness
}

// Ready reports whether the node accepts calls. A stopping node still accepts calls, so
// that callers that have not learned of the stop are served.
func (r resolver) Ready() bool {
	reason := r.ready.Reason()
	return reason == "" || reason == reasonLeaving
}
