package sidecar

import (
	"net"
	"time"

	"corianderwood.example/corianderwood/pkg/link"
)

// acceptedLink is a connection for an inbound link. peers.mu guards link.
type acceptedLink struct {
	conn  net.Conn
	since time.Time
	link  *link.Link // nil until the hello has arrived
}

// admit adds a connection, and closes another one if there are as many as allowed. It returns nil and
// closes the new one if all others are links from nodes with a row.
func (p *peers) admit(conn net.Conn) *acceptedLink {
	a := &acceptedLink{conn: conn, since: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.accepted) >= p.node.settings.connections(linkConnectionShare) {
		victim := p.leastTrusted(a.since)
		p.node.metrics.connectionClosed(kindLink)
		if victim == nil {
			_ = conn.Close()
			return nil
		}
		delete(p.accepted, victim)
		_ = victim.conn.Close()
	}
	p.accepted[a] = struct{}{}
	return a
}

// leastTrusted returns the oldest connection without a hello, else the oldest link from a node that
// has no row in the store, or nil. The caller holds mu.
func (p *peers) leastTrusted(now time.Time) *acceptedLink {
	var silent, unlisted *acceptedLink
	for a := range p.accepted {
		if now.Sub(a.since) < minLinkAge {
			continue
		}
		switch {
		case a.link == nil:
			silent = older(silent, a)
		case !p.hasRow(a.link.Peer.Node):
			unlisted = older(unlisted, a)
		}
	}
	if silent != nil {
		return silent
	}
	return unlisted
}

// hasRow reports whether the node has a row in the store. The caller holds mu.
func (p *peers) hasRow(node string) bool {
	peer, ok := p.dialed[node]
	return ok && !peer.fromHello
}

func older(a, b *acceptedLink) *acceptedLink {
	if a == nil || b.since.Before(a.since) {
		return b
	}
	return a
}

func (p *peers) forget(a *acceptedLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.accepted, a)
}
