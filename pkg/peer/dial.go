package peer

import (
	"context"
	"fmt"
	"net"
)

// dial is a handshake in progress; callers that need the same connection share it.
type dial struct {
	done chan struct{}
	conn *conn
	err  error
}

// connect returns the open connection to an address, or opens one.
func (t *Transport) connect(ctx context.Context, addr string) (*conn, error) {
	if c := t.current(addr); c != nil {
		return c, nil
	}
	t.mu.Lock()
	d, running := t.dials[addr]
	if !running {
		d = &dial{done: make(chan struct{})}
		t.dials[addr] = d
	}
	t.mu.Unlock()
	if !running && !t.spawn(func() { t.dial(addr, d) }) {
		return nil, ErrClosed
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.ctx.Done():
		return nil, ErrClosed
	}
}

func (t *Transport) dial(addr string, d *dial) {
	defer func() {
		t.mu.Lock()
		delete(t.dials, addr)
		t.mu.Unlock()
		close(d.done)
	}()
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		d.err = fmt.Errorf("peer: address %q is not a UDP address; check the address that the peer announces: %w", addr, err)
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, DialTimeout)
	defer cancel()
	q, err := t.quicTransport.Dial(ctx, udpAddr, t.clientTLS(), quicConfig())
	if err != nil {
		t.metrics.connection("dial-failed")
		d.err = fmt.Errorf("peer: cannot connect to %s; check that the node runs and that both certificates have the same CA: %w", addr, err)
		return
	}
	t.metrics.connection("dialed")
	d.conn = t.add(q, addr)
}
