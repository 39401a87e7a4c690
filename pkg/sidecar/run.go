package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/netconn"
)

// ticker is the type of the tickers that every stops.
type ticker = *time.Ticker

// Run serves until ctx ends or the process receives SIGTERM or SIGINT. After a signal it
// returns when all requests have completed or the grace period is almost over.
func (n *Node) Run(ctx context.Context) error {
	debug.SetGCPercent(heapGrowthPercent)
	if n.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.MemoryMB) * (1 << 20)))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	event.NodeStarting.Log("node", n.settings.Node, "process", n.process, "service", n.settings.Service, "failureDomain", n.settings.FailureDomain)
	group, ctx := errgroup.WithContext(ctx)
	if err := n.listen(ctx, group); err != nil {
		return err
	}
	for _, component := range []func(context.Context){
		n.applyRows, n.followOperator, n.followMesh, n.watchServer, n.runRollouts, n.reload, n.peers.run, n.departures.run, n.freshness.run, n.freezes.run, n.limits.run,
	} {
		group.Go(func() error { component(ctx); return nil })
	}
	group.Go(func() error { return n.awaitStop(ctx, cancel) })
	err := group.Wait()
	if err != nil && !errors.Is(err, context.Canceled) {
		event.ComponentFailed.LogError(err)
		return err
	}
	event.NodeStopped.Log("node", n.settings.Node)
	return nil
}

// listen opens all listeners before the other components start, so that a node that
// cannot serve does not start.
func (n *Node) listen(ctx context.Context, group *errgroup.Group) error {
	clients, err := n.listenAt(ctx, n.settings.ClientAddress)
	if err != nil {
		return err
	}
	peers, err := n.listenAt(ctx, net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.PeerPort)))
	if err != nil {
		return err
	}
	group.Go(func() error { return n.ingress.Serve(ctx, clients) })
	group.Go(func() error { return n.peers.accept(ctx, peers) })
	context.AfterFunc(ctx, func() { _ = clients.Close(); _ = peers.Close() })
	metricsAddress := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.MetricsPort))
	for _, endpoint := range []struct {
		kind, address string
		handler       http.Handler
	}{
		{kindHeartbeat, n.settings.HeartbeatAddress, n.deploy.Heartbeats((*registrar)(n))},
		{kindReadiness, n.settings.ReadyAddress, n.deploy.Readiness(n.ready)},
		{kindMetrics, metricsAddress, newStatusMux(n)},
	} {
		l, err := n.listenAt(ctx, endpoint.address)
		if err != nil {
			return err
		}
		l = netconn.LimitConnections(l, n.settings.connections(endpointConnectionShare), func() { n.metrics.connectionClosed(endpoint.kind) })
		serveHTTP(ctx, group, l, endpoint.handler)
	}
	return nil
}

// listenAt opens a listener that an error of accepting does not end.
func (n *Node) listenAt(ctx context.Context, address string) (net.Listener, error) {
	l, err := netconn.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return netconn.RetryAccept(l, func(err error) {
		n.metrics.acceptFailures.Inc()
		event.AcceptFailed.LogError(err, "address", address)
	}), nil
}

// serveHTTP serves one of the node's own HTTP endpoints until ctx ends.
func serveHTTP(ctx context.Context, group *errgroup.Group, l net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: endpointHeaderBytes,
		ReadHeaderTimeout: endpointHeaderTimeout, ReadTimeout: endpointReadTimeout, WriteTimeout: endpointWriteTimeout, IdleTimeout: endpointIdleTimeout,
	}
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

// reload reads and checks the settings on SIGHUP. It only logs whether they have
// changed; they take effect at the next start.
func (n *Node) reload(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			s, err := n.deploy.Reload()
			if err != nil {
				event.SettingsRejected.LogError(err)
				continue
			}
			event.SettingsReloaded.Log("changed", s != n.settings)
		}
	}
}
