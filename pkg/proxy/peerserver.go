package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
)

// PeerOptions configure a PeerServer.
type PeerOptions struct {
	// Target is the instance and incarnation of this node at its start.
	Target   Target
	Upstream UpstreamSource
	Limiter  Limiter
	Ledger   *ledger.Ledger
	// TLS configures mutual TLS with ingress nodes; nil selects plain TCP, for tests
	// only.
	TLS *tls.Config
	// MaxBodyBytes bounds a request body; 0 selects DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// ConnState is used as http.Server.ConnState. A listener that limits the number of
	// connections needs it.
	ConnState func(net.Conn, http.ConnState)
	Metrics   *Metrics
}

// PeerServer accepts calls from ingress nodes and forwards them to the upstream on the
// same instance. It is an http.Handler, safe for concurrent use.
type PeerServer struct {
	opts      PeerOptions
	upstreams *pools
	running   *runningCalls
	draining  atomic.Bool
	target    atomic.Pointer[Target]
	server    *server
}

// NewPeerServer returns a PeerServer; Shutdown or Close must be called after its last
// use.
func NewPeerServer(opts PeerOptions) *PeerServer {
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics(nil)
	}
	if opts.MaxBodyBytes <= 0 {
		opts.MaxBodyBytes = DefaultMaxBodyBytes
	}
	s := &PeerServer{opts: opts, upstreams: newPools(kindUpstream, nil, opts.Metrics), running: newRunningCalls()}
	s.SetTarget(opts.Target)
	s.server = newServer(s, opts.TLS, opts.Metrics)
	s.server.http.ConnState = opts.ConnState
	s.server.http.MaxHeaderBytes += peerHeaderSlack
	return s
}

// Serve accepts connections of ingress nodes until Shutdown; it then returns nil.
func (s *PeerServer) Serve(l net.Listener) error { return s.server.serve(l) }

// SetTarget replaces the target that calls must be addressed to. The incarnation of a
// running process is raised if other nodes know a higher one of its instance, for example
// after the system clock was set back. Queries for the previous target are answered
// "unknown".
func (s *PeerServer) SetTarget(t Target) { s.target.Store(&t) }

// SetDraining makes the server refuse new calls as not run. Running calls continue and
// outcome queries are still served.
func (s *PeerServer) SetDraining(draining bool) { s.draining.Store(draining) }

// Running returns the number of calls in progress.
func (s *PeerServer) Running() int { return s.running.len() }

// RunningAt returns the number of calls in progress that are, or may still be, sent to the
// upstream at address. Once that upstream is marked as draining, a new call is counted only until it
// is refused.
func (s *PeerServer) RunningAt(address string) int { return s.running.countAt(address) }

// Shutdown refuses new calls, waits for the running ones and closes the listener. If ctx
// ends first, it aborts the remaining calls and returns ctx's error.
func (s *PeerServer) Shutdown(ctx context.Context) error {
	s.SetDraining(true)
	s.awaitIdle(ctx)
	err := s.server.shutdown(ctx)
	s.upstreams.close()
	return err
}

// awaitIdle waits until no call is in progress or ctx ends.
func (s *PeerServer) awaitIdle(ctx context.Context) {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for s.running.len() > 0 && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// Close closes the listener and all connections at once.
func (s *PeerServer) Close() error {
	s.upstreams.close()
	return s.server.http.Close()
}

// ServeHTTP serves a call or an outcome query.
func (s *PeerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header[HeaderExchange]; len(id) > 0 {
		w.Header()[HeaderExchange] = id[:1:1]
	}
	if len(r.Header[HeaderCallID]) > 0 {
		s.serveCall(w, r)
		return
	}
	if r.URL.Path == outcomePath && r.Method == http.MethodPost {
		s.serveOutcome(w, r)
		return
	}
	s.refuse(w, refuse(reason.BadRequest, reason.RanNo, "the request has no %s header: send calls to an entrance", HeaderCallID))
}

func (s *PeerServer) refuse(w http.ResponseWriter, r refusal) {
	s.opts.Metrics.refused.WithLabelValues(hopPeer, string(r.reason)).Inc()
	setHeader(w.Header(), HeaderLoad, s.load())
	r.write(w)
}

func (s *PeerServer) load() string {
	return formatLoad(s.opts.Limiter.Load())
}

// serveCall checks a call and its target, waits for a slot and runs it.
func (s *PeerServer) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.opts.Metrics.runningAtPeer.Inc()
	defer s.opts.Metrics.runningAtPeer.Dec()
	h, err := parseCallHeaders(r.Header)
	if err != nil {
		s.refuse(w, refuse(reason.BadRequest, reason.RanNo, "%v", err))
		return
	}
	if own := s.target.Load().String(); h.target != own {
		s.refuse(w, refuse(reason.StaleTarget, reason.RanNo, "the call is for %q, this node is %q", h.target, own))
		return
	}
	if refused, ok := checkRequest(r, s.opts.MaxBodyBytes); !ok {
		s.refuse(w, refused)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	rc := &runningCall{}
	rc.setCancel(cancel)
	if !s.running.add(h.id, rc) {
		s.refuse(w, refuse(reason.OutcomeUnknown, reason.RanUnknown, "call %s is in progress already", h.id))
		return
	}
	defer s.running.remove(h.id)
	c := &peerCall{s: s, w: w, r: r, headers: h, progress: rc, deadline: arrived.Add(h.timeout)}
	if refused, ok := c.admit(ctx); !ok {
		if r.ContentLength != 0 && (c.body == nil || c.body.stream != nil) {
			c.body.closeConnIfUnread(w)
			limitUnreadTime(w)
		}
		s.refuse(w, refused)
		return
	}
	defer c.release()
	c.run(ctx)
}
