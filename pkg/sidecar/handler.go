package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/link"
)

// handler takes the frames of all links.
type handler Node

var _ link.Handler = (*handler)(nil)

// Do runs a request of a peer at the server beside this node.
func (h *handler) Do(ctx context.Context, req *call.Request) call.Response {
	return h.gate.Do(ctx, req)
}

// Outcome answers what became of a call.
func (h *handler) Outcome(ctx context.Context, id ledger.CallID) call.Response {
	return h.gate.Outcome(ctx, id)
}

// ServerState places the server beside a peer. Only the link that this node opened
// counts, since requests travel on it.
func (h *handler) ServerState(l *link.Link, s link.ServerState) {
	n := (*Node)(h)
	n.peers.remember(l.Peer, s)
	if p := n.peers.opened(l); p != nil {
		n.placeServer(p.name, p, s)
	}
}

// opened returns the peer whose current link this is; nil for others.
func (p *peers) opened(l *link.Link) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, ok := p.dialed[l.Peer.Node]; ok && peer.link.Load() == l {
		return peer
	}
	return nil
}

// Versions notices that this node is behind a peer and asks it for the rows, unless
// they arrive otherwise within a moment.
func (h *handler) Versions(l *link.Link, v link.Versions) {
	n := (*Node)(h)
	if n.peers.opened(l) != nil {
		n.noteFollower(l.Peer, v.Following)
	}
	operators := n.deploy.RowCodec.Table()
	for table, version := range v.Tables {
		lacksConfiguration := table == operators && v.Configuration > 0 && n.table.Load() == nil
		if version <= n.cache.Version(table) && !lacksConfiguration {
			continue
		}
		asked := rowsAsked{table, l.Peer.FailureDomain == n.settings.FailureDomain}
		if _, busy := n.peers.asking.LoadOrStore(asked, true); busy {
			continue
		}
		time.AfterFunc(n.rowsDelay(asked), func() {
			n.peers.asking.Delete(asked)
			known := n.cache.Version(table)
			if known < version || lacksConfiguration && n.table.Load() == nil {
				_ = l.Send(link.KindRowsRequest, link.RowsRequest{Table: table, After: known}) // another peer will tell
			}
		})
	}
}

// rowsAsked identifies a pending request for rows of a table.
type rowsAsked struct {
	table string
	near  bool // a peer of the own failure domain is asked
}

// rowsDelay is how long this node waits before it asks a peer for rows.
func (n *Node) rowsDelay(a rowsAsked) time.Duration {
	_, follows := n.following.Load(a.table)
	switch {
	case n.table.Load() == nil:
		return rand.N(rowsSpread)
	case !a.near:
		return foreignRowsDelay
	case follows:
		return peerRowsDelay
	default:
		return rand.N(rowsSpread)
	}
}

// noteFollower records whether a peer follows the store's feeds.
func (n *Node) noteFollower(peer link.Hello, following bool) {
	f := follower{name: peer.Node, failureDomain: peer.FailureDomain, linkBytesPerSecond: peer.LinkBytesPerSecond}
	if following {
		f.saidAt = time.Now()
	}
	n.duty.heard(f)
}

// RowsRequest sends what a peer lacks.
func (h *handler) RowsRequest(l *link.Link, w link.RowsRequest) {
	rows, err := h.packed.since(h.cache, w)
	if err != nil {
		event.PeerFrameMalformed.LogError(err, "peer", l.Peer.Node, "table", w.Table)
		return
	}
	_ = l.SendRows(rows) // a lost link asks again
}

// Rows takes what this node lacked.
func (h *handler) Rows(l *link.Link, r link.Rows) {
	before := h.cache.Version(r.Table)
	if r.Accepted != nil {
		h.cache.SetAccepted(*r.Accepted)
	}
	h.cache.Apply(r.Table, r.Rows, r.Version)
	event.PeerRowsApplied.Log("peer", l.Peer.Node, "table", r.Table, "rows", len(r.Rows), "before", before, "complete", r.Version)
}

// Evidence merges what a peer's server did in a roll-out.
func (h *handler) Evidence(_ *link.Link, e link.Evidence) { h.rollouts.Observe(time.Now(), e.Evidence) }

// Malformed records a frame that can't be read.
func (h *handler) Malformed(l *link.Link, err error) {
	if h.malformed.Allow() {
		event.PeerFrameMalformed.LogError(err, "peer", l.Peer.Node)
	}
}
