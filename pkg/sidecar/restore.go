package sidecar

import (
	"time"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/link"
)

// toldServer is what one process of a node said of the server beside it.
type toldServer struct {
	process uint64
	server  link.ServerState
}

// remember keeps what a node says of its server, for the node's next process.
func (p *peers) remember(peer link.Hello, s link.ServerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.Known && p.told[peer.Node].process != peer.Process {
		return // a process that has just started knows less than the one before
	}
	p.told[peer.Node] = toldServer{peer.Process, s}
}

// recall tells a restarted node what its previous process said of its server. The
// server's next heartbeat may be more than a second away.
func (p *peers) recall(l *link.Link) {
	p.mu.Lock()
	told, ok := p.told[l.Peer.Node]
	p.mu.Unlock()
	if ok && told.process != l.Peer.Process && told.server.Known {
		_ = l.Send(link.KindPreviousServer, link.PreviousServer{Server: told.server}) // the heartbeat tells, too
	}
}

// PreviousServer takes a server that a peer remembers until its next heartbeat. It counts for
// less time than a leaving server may get requests, since the previous process may have
// acknowledged a leave that no peer heard of.
func (h *handler) PreviousServer(l *link.Link, r link.PreviousServer) {
	n := (*Node)(h)
	s := r.Server
	if s.Draining {
		if n.tracker.DropRestored() {
			event.UpstreamDraining.Log("server", s.Incarnation, "peer", l.Peer.Node)
			n.announceLost()
		}
		n.recallEnded.Store(true)
		return
	}
	id, born, err := instance.ParseIncarnation(s.Incarnation)
	if err != nil {
		h.Malformed(l, err)
		return
	}
	if s.Service != n.settings.Service || n.recallEnded.Load() {
		return
	}
	until := n.startedAt.Add(min(n.settings.Heartbeat+recallMargin, n.settings.Bounds.Drain-recallMargin))
	remembered := instance.Server{
		ID: id, StartedAtMS: born, Service: s.Service, Address: n.settings.ServerAddress, FailureDomain: s.FailureDomain,
		Version: s.Version, Slots: s.Slots, WarmUp: time.Duration(s.WarmUpMs) * time.Millisecond,
	}
	if n.tracker.Restore(time.Now(), remembered, until) {
		event.UpstreamRestored.Log("server", s.Incarnation, "version", s.Version, "peer", l.Peer.Node)
		n.announceLost()
	}
}
