package sidecar

import (
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/link"
)

// reportedServer is the state of a node's local server as one process of that node
// reported it.
type reportedServer struct {
	process uint64
	server  link.ServerState
}

// storeReport stores the reported state of a node's local server, so that it can be sent
// back to the node after a restart. Departures that an earlier process reported stay.
func (p *peers) storeReport(peer link.Hello, s link.ServerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := p.reported[peer.Node]
	departures := report.server.Departures.With(s.Departures...)
	if s.Known || report.process == peer.Process {
		report = reportedServer{peer.Process, s}
	} // else a restarted process has no heartbeat yet; the previous report has more data
	report.server.Departures = departures
	p.reported[peer.Node] = report
}

// sendReport sends a restarted node the server state that its previous process reported.
// Without it, the node could not use its server until the next heartbeat, which may take
// more than a second.
func (p *peers) sendReport(l *link.Link) {
	p.mu.Lock()
	report, ok := p.reported[l.Peer.Node]
	p.mu.Unlock()
	if ok && report.process != l.Peer.Process && (report.server.Known || len(report.server.Departures) > 0) {
		_ = l.Send(link.KindPreviousServer, link.PreviousServer{Server: report.server}) // on failure, the next heartbeat has the state
	}
}

// PreviousServer restores the state of the local server from a peer until the server's next
// heartbeat, once this node knows which servers have left. The restored state expires before
// Bounds.Drain has passed since the start, because the previous process may have acknowledged a drain request without any peer
// receiving the update.
func (h *handler) PreviousServer(l *link.Link, r link.PreviousServer) {
	n := (*Node)(h)
	s := r.Server
	departures := s.Departures
	if s.Draining {
		departures = departures.With(instance.Departure{Incarnation: s.Incarnation})
		n.drainReported.Store(true)
		if n.tracker.DropRestored() {
			n.announceChange()
		}
	}
	n.learnDepartures(departures, l.Peer.Node)
	if !s.Known || s.Draining {
		return
	}
	id, born, err := instance.ParseIncarnation(s.Incarnation)
	if err != nil {
		h.Malformed(l, err)
		return
	}
	n.starting.do("report of "+l.Peer.Node, func() { n.restoreServer(id, born, s, l.Peer.Node) })
}

func (n *Node) restoreServer(id string, born int64, s link.ServerState, peer string) {
	if s.Service != n.settings.Service || n.drainReported.Load() {
		return
	}
	until := n.startedAt.Add(min(n.settings.Heartbeat+restoreMargin, n.settings.Bounds.Drain-restoreMargin))
	restored := instance.Server{
		ID: id, StartedAtMS: born, Service: s.Service, Address: n.settings.ServerAddress, FailureDomain: s.FailureDomain,
		Version: s.Version, Slots: s.Slots, WarmUp: time.Duration(s.WarmUpMs) * time.Millisecond,
	}
	if now := time.Now(); n.tracker.Restore(now, restored, until) {
		n.admission.ColdUntilKnown(now, s.Incarnation) // the report may be older than its cold time
		if s.Limited && !s.ColdLimit {
			n.notice.replace(s.Incarnation, call.ServerNotice{Limited: true, RequestLimit: s.RequestLimit})
			n.admission.SetLimit(time.Now(), s.RequestLimit)
		}
		event.UpstreamRestored.Log("server", s.Incarnation, "version", s.Version, "peer", peer)
		n.noteCold(now)
		n.announceChange()
		n.askHealth(now)
	}
}

// learnDepartures adds departures that an earlier process of this node acknowledged: heartbeats
// that the servers sent before may still arrive at this process. It passes them on to peers and
// to the store, since the peers that knew them may restart too.
func (n *Node) learnDepartures(all instance.Departures, source string) {
	if n.tracker.Departures().Contain(all) {
		return
	}
	event.UpstreamDeparted.Log("departures", len(all), "source", source)
	if n.tracker.AddDepartures(time.Now(), all) {
		n.admission.ServerChanged(time.Now())
	}
	n.announceServer()
	n.departures.request()
}
