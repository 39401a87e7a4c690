package proxy

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// server is an HTTP/1.1 server with the time and size limits of this package.
type server struct {
	http     http.Server
	tls      *tls.Config
	stopping atomic.Bool
}

func newServer(h http.Handler, cfg *tls.Config, m *Metrics) *server {
	s := &server{tls: cfg}
	s.http = http.Server{
		Handler:           s.closeWhenStopping(h),
		ErrorLog:          newServerLog(m),
		MaxHeaderBytes:    MaxHeaderBytes,
		IdleTimeout:       serverIdleTimeout,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	s.http.Protocols = new(http.Protocols)
	s.http.Protocols.SetHTTP1(true)
	return s
}

// serve accepts connections until shutdown; it then returns nil.
func (s *server) serve(l net.Listener) error {
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// closeWhenStopping makes each response close its connection once the server is stopping.
// http.Server.SetKeepAlivesEnabled would also close idle connections at once, and lose
// requests that have been sent on them but have not arrived yet.
func (s *server) closeWhenStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			setHeader(w.Header(), "Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// shutdown makes each response close its connection, continues to serve requests for
// lingerOnStop, and then waits for the running calls. If ctx ends first, it closes the
// remaining connections.
func (s *server) shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	select {
	case <-time.After(lingerOnStop):
	case <-ctx.Done():
	}
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.http.Close()
	}
	return err
}
