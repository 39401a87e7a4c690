package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"

	"corianderwood.example/corianderwood/pkg/limit"
	"corianderwood.example/corianderwood/pkg/operator"
	"corianderwood.example/corianderwood/pkg/upstream"
)

// server serves one listener of the node.
type server struct {
	serve    func() error
	shutdown func(context.Context) error
}

// listen opens all listeners before anything is served, so that the start fails if a
// port is in use.
func (n *Node) listen() ([]server, error) {
	callers, err := n.listenCallers()
	if err != nil {
		return nil, err
	}
	peers, err := listenTCP("listen.peers", n.settings.Listen.Peers)
	if err != nil {
		return nil, err
	}
	operators, err := listenTCP("listen.operators", n.settings.Listen.Operators)
	if err != nil {
		return nil, err
	}
	announce, err := listenTCP("listen.announce", n.settings.Listen.Announce)
	if err != nil {
		return nil, err
	}
	metrics, err := listenTCP("listen.metrics", n.settings.Listen.Metrics)
	if err != nil {
		return nil, err
	}
	limited := n.limitPeers(peers)
	return []server{
		{func() error { return n.callerServer.Serve(callers) }, n.callerServer.Shutdown},
		{func() error { return n.peers.Serve(limited) }, n.peers.Shutdown},
		httpServer(upstream.NewAPI(n.registry, n.peers.RunningAt).Handler(), announce),
		httpServer(operator.NewHandler(backend{n}, n.keys), tls.NewListener(operators, n.keys.OperatorConfig())),
		httpServer(n.statusHandler(), metrics),
	}, nil
}

func (n *Node) listenCallers() (net.Listener, error) {
	listener, err := listenTCP("listen.callers", n.settings.Listen.Callers)
	if err != nil || n.settings.CallerTLS == nil {
		return listener, err
	}
	pair, err := tls.LoadX509KeyPair(n.settings.CallerTLS.Certificate, n.settings.CallerTLS.Key)
	if err != nil {
		return nil, oops.In("node").Code("caller-tls").Hint("correct caller_tls in the settings").Wrapf(err, "load the key pair of the callers' listener")
	}
	return tls.NewListener(listener, &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}), nil
}

// limitPeers limits the number of connections from peers. At the limit, a new connection
// replaces the one that has been idle for longest; if none is idle, it is closed.
func (n *Node) limitPeers(inner net.Listener) net.Listener {
	n.peerListener = limit.NewListener(inner, maxPeerConnections)
	return n.peerListener
}

func listenTCP(field, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.In("node").Code("listen").Hint("choose a free port for "+field).Wrapf(err, "%s", field)
	}
	return listener, nil
}

func httpServer(handler http.Handler, listener net.Listener) server {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	return server{
		serve: func() error {
			if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		},
		shutdown: s.Shutdown,
	}
}

// statusHandler serves /metrics, /healthz and /readyz.
func (n *Node) statusHandler() http.Handler {
	handler := http.NewServeMux()
	handler.Handle("/metrics", promhttp.HandlerFor(n.gatherer, promhttp.HandlerOpts{}))
	handler.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	handler.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		status := backend{n}.Status()
		if !status.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		// An error means that the client has closed the connection.
		_ = json.NewEncoder(w).Encode(status)
	})
	return handler
}
