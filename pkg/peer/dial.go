package peer

import (
	"context"
	"fmt"
	"net"
)

// dial is a handshake under way; callers that need the same connection share it.
type dial struct {
	done chan struct{}
	conn *conn
	err  error
}

// connect returns an open connection to an address.
func (l *Transport) connect(ctx context.Context, addr string) (*conn, error) {
	if c := l.current(addr); c != nil {
		return c, nil
	}
	l.mu.Lock()
	d, running := l.dials[addr]
	if !running {
		d = &dial{done: make(chan struct{})}
		l.dials[addr] = d
	}
	l.mu.Unlock()
	if !running && !l.spawn(func() { l.dial(addr, d) }) {
		return nil, ErrClosed
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.ctx.Done():
		return nil, ErrClosed
	}
}

func (l *Transport) dial(addr string, d *dial) {
	defer func() {
		l.mu.Lock()
		delete(l.dials, addr)
		l.mu.Unlock()
		close(d.done)
	}()
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		d.err = fmt.Errorf("peer: address %q is not a UDP address; check the announced address: %w", addr, err)
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, DialTimeout)
	defer cancel()
	q, err := l.transport.Dial(ctx, udpAddr, l.clientTLS(), quicConfig())
	if err != nil {
		l.metrics.connection("dial-failed")
		d.err = fmt.Errorf("peer: cannot connect to %s; check that the node runs and that both certificates have the same CA: %w", addr, err)
		return
	}
	l.metrics.connection("dialed")
	d.conn = l.add(q, addr)
}
