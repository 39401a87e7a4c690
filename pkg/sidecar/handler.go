package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/platform"
)

// handler handles the frames received on all links.
type handler Node

var _ link.Handler = (*handler)(nil)

// Do executes a peer's request at the local server.
func (h *handler) Do(ctx context.Context, req *call.Request) call.Response {
	return h.admission.Do(ctx, req)
}

// ServiceTime returns the expected service time of a request at the local server.
func (h *handler) ServiceTime(route string, target time.Duration) time.Duration {
	return h.admission.ServiceTime(route, target)
}

// Outcome returns the outcome of an earlier call.
func (h *handler) Outcome(ctx context.Context, id ledger.CallID) call.Response {
	return h.admission.Outcome(ctx, id)
}

// ServerState updates the state of a peer's local server. The server becomes a target for
// requests only through the link that this node opened, because requests are sent on
// that link.
func (h *handler) ServerState(l *link.Link, s link.ServerState) {
	n := (*Node)(h)
	n.peers.storeReport(l.Peer, s)
	if p := n.peers.opened(l); p != nil {
		n.updateSelector(p.name, p, s)
	}
}

// opened returns the peer whose current outbound link is l, or nil if there is none.
func (p *peers) opened(l *link.Link) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, ok := p.dialed[l.Peer.Node]; ok && peer.link.Load() == l {
		return peer
	}
	return nil
}

// Versions compares a peer's table versions with the local copies. If a local copy is
// behind, it requests the missing rows from the peer after rowsDelay, unless they have
// arrived from another source by then. It also requests rows if the peer has a newer
// configuration in force, because the newest row may be malformed or, after the store was
// restored from an older copy, hold an older configuration.
func (h *handler) Versions(l *link.Link, v link.Versions) {
	n := (*Node)(h)
	if n.peers.opened(l) != nil {
		n.updateFollower(l.Peer, v.Following)
	}
	for known := n.newestConfiguration.Load(); v.Configuration > known && !n.newestConfiguration.CompareAndSwap(known, v.Configuration); {
		known = n.newestConfiguration.Load()
	}
	n.startRows.announced(l.Peer.Node, v)
	n.freshness.told(v.Configuration)
	for table, version := range v.Tables {
		n.considerRows(l, table, version, v.Configuration)
	}
}

// considerRows requests the rows of a table from a peer that has it up to the given version and the
// given configuration in force, if this node lacks them.
func (n *Node) considerRows(l *link.Link, table string, version, configuration uint64) {
	if version <= n.cache.Version(table) && !n.lacksConfiguration(table, configuration) {
		return
	}
	key := rowsRequestKey{table, l.Peer.FailureDomain == n.settings.FailureDomain}
	if !n.peers.rowsRequests.addInForce(key, announcement{l, version}, configuration) {
		return
	}
	time.AfterFunc(n.rowsDelay(key), func() {
		newest, configuration := n.peers.rowsRequests.takeInForce(key)
		known := n.cache.Version(table)
		if known < newest.version || n.lacksConfiguration(table, configuration) && n.mayRequestConfiguration() {
			_ = newest.link.Send(link.KindRowsRequest, link.RowsRequest{Table: table, After: known}) // on failure, another peer's versions trigger a new request
		}
	})
}

// lacksConfiguration reports whether a peer that has the given configuration version in force can
// supply one that this node lacks. The rows do not tell if the row of the configuration has become
// malformed since, or is older because the store was restored from an older copy.
func (n *Node) lacksConfiguration(table string, configuration uint64) bool {
	return table == n.deploy.RowCodec.Table() && configuration > n.configurationVersion()
}

// mayRequestConfiguration limits the requests for a configuration that this node can't apply.
func (n *Node) mayRequestConfiguration() bool {
	return n.freshness == nil || n.routingTable.Load() == nil || n.freshness.rowsRequests.Allow()
}

// configurationVersion returns the version of the configuration in force, 0 if there is none.
func (n *Node) configurationVersion() uint64 {
	if t := n.routingTable.Load(); t != nil {
		return t.Version
	}
	return 0
}

// rowsDelay returns how long this node waits before it requests rows from a peer.
func (n *Node) rowsDelay(key rowsRequestKey) time.Duration {
	_, follows := n.following.Load(key.table)
	switch {
	case n.routingTable.Load() == nil:
		return rand.N(rowsJitter)
	case !key.sameDomain:
		return otherDomainRowsDelay
	case follows:
		return peerRowsDelay
	default:
		return rand.N(rowsJitter)
	}
}

// updateFollower stores whether a peer follows the store's feeds.
func (n *Node) updateFollower(peer link.Hello, following bool) {
	f := follower{name: peer.Node, failureDomain: peer.FailureDomain, linkBytesPerSecond: peer.LinkBytesPerSecond}
	if following {
		f.reportedAt = time.Now()
	}
	n.election.update(f)
}

// RowsRequest sends the rows that a peer has requested.
func (h *handler) RowsRequest(l *link.Link, request link.RowsRequest) {
	rows, err := h.encoded.since(h.cache, request)
	if err != nil {
		event.PeerFrameMalformed.LogError(err, "peer", l.Peer.Node, "table", request.Table)
		return
	}
	_ = l.SendRows(rows) // after a lost link, the peer requests them again
}

// Rows applies received rows to the local copy. Those of a later era of the store than the copy are all
// rows of that era, since all of them are newer than any of an earlier one; what is missing does not
// exist any more, and the peer may never have known it.
func (h *handler) Rows(l *link.Link, r link.Rows) {
	before := h.cache.Version(r.Table)
	if r.Accepted != nil {
		h.cache.Offer(*r.Accepted)
	}
	if platform.EraOf(r.Version) > platform.EraOf(before) {
		h.cache.Replace(r.Table, r.Rows, r.Version)
	} else {
		h.cache.Apply(r.Table, r.Rows, r.Version)
	}
	h.startRows.received(l.Peer.Node, r.Table)
	h.freezes.rowsApplied(0) // the version may rise without a change that is applied
	h.freshness.copied(r.Table)
	event.PeerRowsApplied.Log("peer", l.Peer.Node, "table", r.Table, "rows", len(r.Rows), "before", before, "complete", r.Version)
}

// Evidence merges the results of requests at a peer's server during a rollout.
func (h *handler) Evidence(_ *link.Link, e link.Evidence) { h.rollouts.Observe(time.Now(), e.Evidence) }

// Silent probes all links, because connections often stop delivering together.
func (h *handler) Silent(l *link.Link) {
	n := (*Node)(h)
	n.metrics.linksSilent.Inc()
	event.PeerSilent.Log("peer", l.Peer.Node, "process", l.Peer.Process)
	n.peers.probeLinks(time.Now())
}

// Malformed logs a frame that cannot be decoded, at a limited rate.
func (h *handler) Malformed(l *link.Link, err error) {
	if h.malformed.Allow() {
		event.PeerFrameMalformed.LogError(err, "peer", l.Peer.Node)
	}
}
