package ingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/routing"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// Handler handles requests. Its methods are called concurrently.
type Handler interface {
	// Serve returns the response to one request. It is called in a separate goroutine
	// for each request. The context ends when the client disconnects.
	Serve(ctx context.Context, req *Request) Response
	// Malformed is called for each request that can't be read, unless the client disconnected
	// while it sent the request.
	Malformed(remote string, err error)
}

// Server accepts client connections. mu guards the set of connections.
type Server struct {
	handler Handler
	limits  func() routing.Limits
	uplink  *uplink.Scheduler
	// memory limits what is held for all clients, bodies the request bodies among it.
	memory, bodies *boundedio.Budget
	maxConns       int // 0 for no limit
	metrics        *Metrics

	closing atomic.Bool
	pending atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server. limits returns the limits in force; the scheduler orders the
// responses that the node sends; bodies limits the memory of the request bodies, and the budget that
// it is a part of what is held for clients altogether.
func NewServer(handler Handler, limits func() routing.Limits, up *uplink.Scheduler, bodies *boundedio.Budget) *Server {
	return &Server{
		handler: handler, limits: limits, uplink: up, memory: bodies.Whole(), bodies: bodies, metrics: NewMetrics(nil),
		conns: make(map[*conn]struct{}),
	}
}

// LimitConnections sets how many connections may be open. It must be called before Serve.
func (s *Server) LimitConnections(n int) { s.maxConns = n }

// Connections returns the number of open connections and the limit, 0 for none.
func (s *Server) Connections() (open, limit int) { return s.connections(), s.maxConns }

// Observe sets the metrics. It must be called before Serve.
func (s *Server) Observe(m *Metrics) { s.metrics = m }

// Serve accepts connections until the listener is closed; it then returns nil. It returns
// any other error of the listener except time-outs. When ctx ends, the contexts of all
// requests end.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		inner, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			return err
		}
		if !s.makeRoom(ctx) {
			s.metrics.closed(closedRefused, inner.RemoteAddr())
			_ = inner.Close()
			continue
		}
		c := newConn(s, inner)
		s.track(c, true)
		go func() {
			c.run(ctx)
			s.track(c, false)
		}()
	}
}

// DisableKeepAlives makes each connection close after its next response that leaves no
// request pending.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// Pending returns the number of requests of which at least a byte has been read and whose
// response has not been written yet.
func (s *Server) Pending() int { return int(s.pending.Load()) }

// CloseIdle closes the connections without pending requests.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// StopReceiving refuses the requests that have been received in part.
func (s *Server) StopReceiving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.stopReceiving()
	}
}

func (s *Server) track(c *conn, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add {
		s.conns[c] = struct{}{}
		return
	}
	delete(s.conns, c)
}
