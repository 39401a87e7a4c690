package netconn

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener closes the least active connection when there are more than max.
type limitedListener struct {
	net.Listener
	max    int
	closed func()

	mu    sync.Mutex
	conns map[*limitedConn]struct{}
}

// LimitConnections returns a listener that has at most max connections open: for a further one, it
// closes that on which nothing was received or sent for the longest time, and calls closed. It is for
// endpoints whose requests end at once.
func LimitConnections(l net.Listener, maxConns int, closed func()) net.Listener {
	return &limitedListener{Listener: l, max: maxConns, closed: closed, conns: make(map[*limitedConn]struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: inner, listener: l}
	c.active.Store(time.Now().UnixNano())
	l.mu.Lock()
	var victim *limitedConn
	if len(l.conns) >= l.max {
		for other := range l.conns {
			if victim == nil || other.active.Load() < victim.active.Load() {
				victim = other
			}
		}
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if victim != nil {
		l.closed()
		_ = victim.Close()
	}
	return c, nil
}

// limitedConn records when it was last active.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	active   atomic.Int64 // Unix time in nanoseconds
}

func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.active.Store(time.Now().UnixNano())
	return n, err
}

func (c *limitedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.active.Store(time.Now().UnixNano())
	return n, err
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
