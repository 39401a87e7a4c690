package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// CallerOptions configures a CallerServer.
type CallerOptions struct {
	// ProcessID makes call ids unique. It must differ between all processes of the mesh.
	// The incarnation can't serve as id, since two nodes may start in the same
	// millisecond.
	ProcessID uint64
	Resolver  Resolver
	Versions  VersionChooser
	Observer  Observer
	Balancer  Balancer
	Policies  Policies
	// PeerTLS configures mutual TLS with the nodes of upstreams; nil selects plain TCP,
	// for tests only.
	PeerTLS *tls.Config
	// MaxBodyBytes bounds a request body; 0 selects DefaultMaxBodyBytes.
	MaxBodyBytes int64
	Metrics      *Metrics
}

// CallerServer accepts requests from callers and forwards each to the node of an upstream.
// It is an http.Handler, safe for concurrent use.
type CallerServer struct {
	opts     CallerOptions
	ids      callIDs
	peers    *pools
	outcomes *outcomeClient
	server   *server
}

// NewCallerServer returns a CallerServer; Shutdown or Close must be called after its last
// use.
func NewCallerServer(opts CallerOptions) *CallerServer {
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics(nil)
	}
	if opts.MaxBodyBytes <= 0 {
		opts.MaxBodyBytes = DefaultMaxBodyBytes
	}
	s := &CallerServer{
		opts:     opts,
		ids:      callIDs{origin: opts.ProcessID},
		peers:    newPools(kindPeer, opts.PeerTLS, opts.Metrics),
		outcomes: &outcomeClient{pools: newPools(kindPeer, opts.PeerTLS, opts.Metrics)},
	}
	s.server = newServer(s, nil, opts.Metrics)
	return s
}

// Serve accepts connections of callers until Shutdown; it then returns nil.
func (s *CallerServer) Serve(l net.Listener) error { return s.server.serve(l) }

// Shutdown continues to serve for lingerOnStop, then closes the listener and waits for the
// running calls. If ctx ends first, it aborts the remaining calls and returns ctx's error.
func (s *CallerServer) Shutdown(ctx context.Context) error {
	err := s.server.shutdown(ctx)
	s.Close()
	return err
}

// Close closes the idle connections to the nodes of upstreams; those in use are closed
// when their exchanges end. It does not end Serve.
func (s *CallerServer) Close() {
	s.peers.close()
	s.outcomes.pools.close()
}

// ServeHTTP forwards one call.
func (s *CallerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.opts.Metrics.runningAtIngress.Inc()
	defer s.opts.Metrics.runningAtIngress.Dec()
	c, refused, ok := s.newCall(w, r)
	if !ok {
		if r.ContentLength != 0 {
			limitUnreadTime(w)
		}
		s.refuse(w, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.run(ctx)
}

func (s *CallerServer) refuse(w http.ResponseWriter, r refusal) {
	s.opts.Metrics.refused.WithLabelValues(hopIngress, string(r.reason)).Inc()
	r.write(w)
}

// newCall checks a request, finds its route and takes over its body.
func (s *CallerServer) newCall(w http.ResponseWriter, r *http.Request) (*call, refusal, bool) {
	if refused, ok := checkRequest(r, s.opts.MaxBodyBytes); !ok {
		return nil, refused, false
	}
	depth, err := parseDepth(r.Header)
	if err != nil {
		return nil, refuse(reason.BadRequest, reason.RanNo, "%v", err), false
	}
	if depth+1 > MaxDepth {
		return nil, refuse(reason.DepthExceeded, reason.RanNo,
			"the chain of calls is deeper than %d: look for a cycle between services", MaxDepth), false
	}
	timeout, err := parseTimeout(r.Header)
	if err != nil {
		return nil, refuse(reason.BadRequest, reason.RanNo, "%v", err), false
	}
	if !s.opts.Resolver.Ready() {
		return nil, refuse(reason.NotReady, reason.RanNo, "the node has no configuration in force yet: use another node"), false
	}
	route, service, ok := s.opts.Resolver.Resolve(hostOnly(r.Host), r.URL.Path, r.Method)
	if !ok {
		return nil, refuse(reason.NoRoute, reason.RanNo, "no route matches %s %s at host %q: add one to a section",
			r.Method, r.URL.Path, hostOnly(r.Host)), false
	}
	now := time.Now()
	c := &call{s: s, w: w, r: r, route: route, service: service, depth: depth + 1,
		repeatable: route.Repeatable.Allows(r.Method), begun: now}
	c.deadline = now.Add(callTimeout(route, service, timeout))
	body, err := readRequestBody(r.Context(), w, r, s.opts.MaxBodyBytes, c.deadline, nil)
	if err != nil {
		return nil, refuse(reason.Canceled, reason.RanNo, "the request body was not received: %v", err), false
	}
	c.body = body
	c.version = s.opts.Versions.Version(now, service, route.Name)
	return c, refusal{}, true
}

// hostOnly returns a host header without its port.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}
