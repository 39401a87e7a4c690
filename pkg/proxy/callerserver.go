package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// CallerOptions configure an Entrance.
type CallerOptions struct {
	// ProcessID makes call ids unique. It must differ between all processes of the mesh;
	// the incarnation does not, since nodes may start in the same millisecond.
	ProcessID uint64
	Resolver  Resolver
	Versions  VersionChooser
	Observer  Observer
	Balancer  Balancer
	Policies  Policies
	// PeerTLS is the client side of mutual TLS with peers; nil selects plain TCP,
	// which is for tests.
	PeerTLS *tls.Config
	// MaxBodyBytes bounds a request body; 0 selects DefaultMaxBodyBytes.
	MaxBodyBytes int64
	Metrics      *Metrics
}

// CallerServer serves requests from callers. It is an http.Handler, safe for concurrent
// use.
type CallerServer struct {
	opts     CallerOptions
	ids      callIDs
	peers    *pools
	outcomes *outcomeClient
	server   *server
}

// NewCallerServer returns an entrance; Close must be called after its last use.
func NewCallerServer(opts CallerOptions) *CallerServer {
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics(nil)
	}
	if opts.MaxBodyBytes <= 0 {
		opts.MaxBodyBytes = DefaultMaxBodyBytes
	}
	e := &CallerServer{
		opts:     opts,
		ids:      callIDs{entrance: opts.ProcessID},
		peers:    newPools(kindPeer, opts.PeerTLS, opts.Metrics),
		outcomes: &outcomeClient{pools: newPools(kindPeer, opts.PeerTLS, opts.Metrics)},
	}
	e.server = newServer(e, nil, opts.Metrics)
	return e
}

// Serve accepts callers until Shutdown; it then returns nil.
func (e *CallerServer) Serve(l net.Listener) error { return e.server.serve(l) }

// Shutdown stops accepting callers, lets the running calls finish and returns; if
// ctx ends first, the remaining calls are cut off and ctx's error is returned.
func (e *CallerServer) Shutdown(ctx context.Context) error {
	err := e.server.shutdown(ctx)
	e.Close()
	return err
}

// Close closes the pooled connections to peers.
func (e *CallerServer) Close() {
	e.peers.close()
	e.outcomes.pools.close()
}

// ServeHTTP carries one call.
func (e *CallerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.opts.Metrics.runningAtEntrance.Inc()
	defer e.opts.Metrics.runningAtEntrance.Dec()
	c, refused, ok := e.newCall(w, r)
	if !ok {
		if r.ContentLength != 0 {
			limitUnread(w)
		}
		e.refuse(w, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.run(ctx)
}

func (e *CallerServer) refuse(w http.ResponseWriter, r refusal) {
	e.opts.Metrics.refused.WithLabelValues(hopEntrance, string(r.reason)).Inc()
	r.write(w)
}

// newCall checks a request, finds its route and reads its body.
func (e *CallerServer) newCall(w http.ResponseWriter, r *http.Request) (*call, refusal, bool) {
	if refused, ok := checkRequest(r, e.opts.MaxBodyBytes); !ok {
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
	if !e.opts.Resolver.Ready() {
		return nil, refuse(reason.NotReady, reason.RanNo, "the node has no configuration in force yet: use another node"), false
	}
	route, service, ok := e.opts.Resolver.Resolve(hostOnly(r.Host), r.URL.Path, r.Method)
	if !ok {
		return nil, refuse(reason.NoRoute, reason.RanNo, "no route matches %s %s at host %q: add one to a section",
			r.Method, r.URL.Path, hostOnly(r.Host)), false
	}
	now := time.Now()
	c := &call{e: e, w: w, r: r, route: route, service: service, depth: depth + 1,
		repeatable: route.Repeatable.Allows(r.Method), begun: now}
	c.deadline = now.Add(callTimeout(route, service, timeout))
	body, err := readRequestBody(w, r, e.opts.MaxBodyBytes, c.deadline)
	if err != nil {
		return nil, refuse(reason.Canceled, reason.RanNo, "the request body was not received: %v", err), false
	}
	c.body = body
	c.version = e.opts.Versions.Version(now, service, route.Name)
	return c, refusal{}, true
}

// hostOnly returns a host header without its port.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}
