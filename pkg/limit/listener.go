package limit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener limits the number of open connections. At the limit, a new connection
// replaces the one that has been idle for longest. If none is idle, the new connection
// is closed before a byte is read, so that the caller knows that its call did not run. A
// connection that has not sent a request counts as idle after newConnectionGrace.
//
// ConnState must be installed as the ConnState hook of the http.Server that serves the
// listener, because it distinguishes idle from busy connections.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	max  int                      // guarded by mu
	open map[*connection]struct{} // guarded by mu
	idle list.List                // of *connection, longest idle first; guarded by mu
	// unused holds connections that have not sent a request, oldest first; guarded by
	// mu.
	unused list.List
}

// NewListener limits inner to max connections. A max that is not positive is replaced
// by DefaultConnections.
func NewListener(inner net.Listener, max int) *Listener {
	if max <= 0 {
		max = DefaultConnections
	}
	return &Listener{Listener: inner, max: max, open: make(map[*connection]struct{})}
}

// Accept returns the next connection within the limit. It closes those above it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner, time.Now()); c != nil {
			return c, nil
		}
		refusedConnections.Inc()
		_ = inner.Close()
	}
}

// SetMax changes the limit; a max that is not positive is replaced by DefaultConnections. Connections above a
// lower limit are closed, idle ones at once and busy ones when they become idle.
func (l *Listener) SetMax(max int) {
	if max <= 0 {
		max = DefaultConnections
	}
	l.mu.Lock()
	l.max = max
	evicted := l.evict(max, time.Now())
	l.mu.Unlock()
	closeAll(evicted)
}

// admit registers a connection and evicts idle ones if necessary. It returns nil if
// all connections are busy or too new to be evicted.
func (l *Listener) admit(inner net.Conn, now time.Time) *connection {
	l.mu.Lock()
	evicted := l.evict(l.max-1, now)
	defer closeAll(evicted)
	defer l.mu.Unlock()
	if len(l.open) >= l.max {
		return nil
	}
	c := &connection{Conn: inner, listener: l, since: now}
	l.open[c] = struct{}{}
	c.list, c.element = &l.unused, l.unused.PushBack(c)
	openConnections.Inc()
	return c
}

// evict unregisters evictable connections until at most n are open, and returns them. The caller holds mu
// and closes them after it has released mu.
func (l *Listener) evict(n int, now time.Time) []*connection {
	var evicted []*connection
	for len(l.open) > n {
		c := l.evictable(now)
		if c == nil {
			break
		}
		l.remove(c)
		evictedConnections.Inc()
		evicted = append(evicted, c)
	}
	return evicted
}

func closeAll(evicted []*connection) {
	for _, c := range evicted {
		_ = c.Conn.Close()
	}
}

// evictable returns the connection that has been idle for longest, or else the oldest
// one that has not sent a request within newConnectionGrace, or nil.
func (l *Listener) evictable(now time.Time) *connection {
	if e := l.idle.Front(); e != nil {
		return e.Value.(*connection)
	}
	if e := l.unused.Front(); e != nil {
		if c := e.Value.(*connection); now.Sub(c.since) >= newConnectionGrace {
			return c
		}
	}
	return nil
}

// remove unregisters a connection. The caller holds mu.
func (l *Listener) remove(c *connection) {
	if _, ok := l.open[c]; !ok {
		return
	}
	delete(l.open, c)
	c.unlink()
	openConnections.Dec()
}

// ConnState is the hook for http.Server. It accepts connections of this listener and
// wrappers with a NetConn method, such as *tls.Conn, and ignores all others.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	var evicted []*connection
	defer func() { closeAll(evicted) }()
	defer l.mu.Unlock()
	c := l.find(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive, http.StateHijacked:
		c.unlink()
	case http.StateIdle:
		c.unlink()
		c.list, c.element = &l.idle, l.idle.PushBack(c)
		evicted = l.evict(l.max, time.Now())
	}
}

// find returns the open connection that conn is or wraps, or nil. The caller holds mu.
func (l *Listener) find(conn net.Conn) *connection {
	for {
		if c, ok := conn.(*connection); ok {
			if _, held := l.open[c]; held {
				return c
			}
			return nil
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
