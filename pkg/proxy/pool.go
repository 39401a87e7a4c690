package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/event"
)

// pool holds the connections to one address. mu guards its state.
type pool struct {
	addr    string
	tls     *tls.Config // nil for plain TCP
	metrics *Metrics
	kind    string // metric label of the connections

	mu     sync.Mutex
	idle   []*pooledConn        // the most recently used last
	active map[*pooledConn]bool // connections in use
	reuse  reuseGuard
	closed bool
}

func newPool(addr, kind string, cfg *tls.Config, m *Metrics) *pool {
	return &pool{addr: addr, kind: kind, tls: cfg, metrics: m, active: make(map[*pooledConn]bool)}
}

// get returns an idle connection whose last exchange ended at most maxAge ago, or opens a
// new one.
func (p *pool) get(ctx context.Context, maxAge time.Duration) (*pooledConn, error) {
	if c := p.takeIdle(maxAge); c != nil {
		return c, nil
	}
	return p.open(ctx)
}

func (p *pool) takeIdle(maxAge time.Duration) *pooledConn {
	for {
		c := p.chooseIdle(time.Now(), maxAge)
		if c == nil {
			return nil
		}
		if !c.notReusable.Load() && c.isQuiet() {
			c.reused = true
			return c
		}
		p.dropIdle(c)
	}
}

// chooseIdle makes the most recently used idle connection that does not rest an active one.
func (p *pool) chooseIdle(now time.Time, maxAge time.Duration) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reuse.forbidden() {
		return nil
	}
	for i, c := range slices.Backward(p.idle) {
		if now.Sub(c.idleSince) > maxAge {
			return nil
		}
		if c.use.isResting(now, c.idleSince) && c.isQuiet() {
			continue // one that is not quiet is dropped by takeIdle
		}
		c.use.taken(now, c.idleSince)
		p.idle = slices.Delete(p.idle, i, i+1)
		p.active[c] = true
		return c
	}
	return nil
}

// dropIdle closes a connection that was idle and is not quiet or must not be reused.
func (p *pool) dropIdle(c *pooledConn) {
	if !c.notReusable.Load() && c.hasUnsolicited() {
		p.foundUnsolicited(foundIdle)
	}
	p.discard(c)
}

// foundUnsolicited ends the reuse of connections after the server sent bytes outside of an
// exchange, or the response to another request.
func (p *pool) foundUnsolicited(found string) {
	p.metrics.unsolicited.WithLabelValues(p.kind, found).Inc()
	p.mu.Lock()
	changed := p.reuse.forbid(time.Now())
	p.mu.Unlock()
	if changed {
		event.ConnectionsNotReused.Log("address", p.addr, "kind", p.kind, "found", found, "for", noReuseTime)
	}
}

// openWithin is like get, but opening a new connection may take at most limit.
func openWithin(ctx context.Context, p *pool, maxAge, limit time.Duration) (*pooledConn, error) {
	if c := p.takeIdle(maxAge); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return p.open(ctx)
}

// open opens a connection, including the TLS handshake.
func (p *pool) open(ctx context.Context) (*pooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	tcp, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	conn := tcp
	if p.tls != nil {
		secured := tls.Client(tcp, p.tls)
		if err := secured.HandshakeContext(ctx); err != nil {
			tcp.Close()
			return nil, err
		}
		conn = secured
	}
	c := newPooledConn(conn, tcp, p.kind == kindPeer)
	p.mu.Lock()
	p.active[c] = true
	p.mu.Unlock()
	p.metrics.opened.WithLabelValues(p.kind).Inc()
	return c, nil
}

// put returns a connection after a complete exchange.
func (p *pool) put(c *pooledConn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	delete(p.active, c)
	if p.closed || c.notReusable.Load() || len(p.idle) >= p.reuse.maxIdle() {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection that can't be reused.
func (p *pool) discard(c *pooledConn) {
	p.mu.Lock()
	delete(p.active, c)
	p.mu.Unlock()
	c.notReusable.Store(true)
	closeNow(c)
}

// watchAndDiscard closes a connection that can't be reused after restTime, unless bytes of the server are
// found before.
func (p *pool) watchAndDiscard(c *pooledConn) {
	_ = c.readUnsolicited(time.Now().Add(restTime))
	if c.unsolicited {
		p.foundUnsolicited(foundAfterResponse)
	}
	p.discard(c)
}

// dropStalled closes the stalled connection c and the idle connections that were opened before
// it, which probably are stalled too. Older connections in use are marked as not reusable;
// their exchanges continue, because each has its own stall checks.
func (p *pool) dropStalled(c *pooledConn) {
	p.mu.Lock()
	dropped := []*pooledConn{c}
	rest := p.idle[:0]
	for _, other := range p.idle {
		if other.opened.After(c.opened) {
			rest = append(rest, other)
		} else {
			dropped = append(dropped, other)
		}
	}
	clear(p.idle[len(rest):])
	p.idle = rest
	for other := range p.active {
		if !other.opened.After(c.opened) {
			other.notReusable.Store(true)
		}
	}
	p.mu.Unlock()
	for _, d := range dropped {
		d.notReusable.Store(true)
		closeNow(d)
	}
	p.metrics.stalled.WithLabelValues(p.kind).Add(float64(len(dropped)))
}

// closeNow closes a connection without sending the TLS close alert, since that write could
// block on a stalled connection.
func closeNow(c *pooledConn) { c.tcp.Close() }

// sweep closes the idle connections that are not quiet and those idle for longer than
// idleTimeout, and allows the reuse of connections again once it is due.
func (p *pool) sweep(now time.Time) {
	var noisy, expired []*pooledConn
	p.mu.Lock()
	rest := p.idle[:0]
	for _, c := range p.idle {
		switch {
		case !c.isQuiet():
			noisy = append(noisy, c)
		case now.Sub(c.idleSince) > idleTimeout:
			expired = append(expired, c)
		default:
			rest = append(rest, c)
		}
	}
	clear(p.idle[len(rest):])
	p.idle = rest
	p.mu.Unlock()
	for _, c := range noisy {
		p.dropIdle(c)
	}
	for _, c := range expired {
		c.Close()
	}
	p.mu.Lock()
	changed := p.reuse.lift(now)
	p.mu.Unlock()
	if changed {
		event.ConnectionsReused.Log("address", p.addr, "kind", p.kind)
	}
}

// unused reports whether the pool holds no connection and no knowledge of the server.
func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && len(p.active) == 0 && !p.reuse.forbidden()
}

// close closes the idle connections. Those in use are closed when they are returned.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}
