package sidecar

import (
	"time"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/instance"
)

// registrar handles the heartbeats of the local server. This node's admission controller
// enforces the acknowledged state. That a server leaves is acknowledged only when that outlives
// this process: its successor would otherwise take a late heartbeat of the server for true.
type registrar Node

// Heartbeat processes a valid heartbeat and reports whether it is acknowledged. A server that
// is ready is used once this node knows which servers have left; the newest of its heartbeats
// is processed then.
func (r *registrar) Heartbeat(s instance.Server) bool {
	n := (*Node)(r)
	if s.State == instance.Ready {
		n.confirmation.note(time.Now(), s)
		n.starting.do("heartbeat", func() { n.observeReady(s) })
		return true
	}
	n.observeHeartbeat(s, time.Time{})
	return n.preserveDepartures()
}

// observeReady processes the heartbeat of a server that is ready. Before it is confirmed, the
// server is used for a limited time, so that its service does not wait for its next heartbeat
// after each restart. If the store was away, only what a peer knows of the server allows that.
func (n *Node) observeReady(s instance.Server) {
	now := time.Now()
	confirmed, until := n.confirmation.note(now, s)
	if !confirmed {
		if !now.Before(until) || n.confirmation.storeAway.Load() && !n.tracker.Knows(s) {
			event.HeartbeatUnconfirmed.Log("server", s.ID, "born", s.StartedAtMS, "sequence", s.Sequence)
			return
		}
		event.UpstreamProvisional.Log("server", s.ID, "born", s.StartedAtMS, "sequence", s.Sequence, "for", until.Sub(now))
	}
	n.observeHeartbeat(s, until)
}

// observeHeartbeat processes a heartbeat whose server is used until the given time at most; zero
// means without end.
func (n *Node) observeHeartbeat(s instance.Server, until time.Time) {
	now := time.Now()
	before, known := n.tracker.Current(now)
	effect := n.tracker.ObserveUntil(now, s, until)
	if effect == instance.Outdated {
		if n.malformed.Allow() {
			event.HeartbeatOutdated.Log("server", s.ID, "born", s.StartedAtMS, "sequence", s.Sequence, "state", s.State)
		}
		return
	}
	n.admission.ColdHeartbeat(now, s.Incarnation(), s.WarmUp)
	if effect == instance.Changed {
		log := event.UpstreamAnnounced
		if s.State != instance.Ready {
			log = event.UpstreamDraining
		}
		log.Log("server", s.ID, "born", s.StartedAtMS, "version", s.Version, "state", s.State, "slots", s.Slots)
		if !known || before.ID != s.ID || before.StartedAtMS != s.StartedAtMS {
			n.admission.NewIncarnation(now)
		}
	}
	coldChanged := n.noteCold(now)
	if effect == instance.Changed || !known {
		n.admission.ServerChanged(now)
		n.announceServer()
	} else if coldChanged {
		n.announceServer()
	}
	n.askHealth(now)
}

// Withdraw removes the registration of the local server and reports whether that is
// acknowledged. The withdrawal of a server that this process does not know binds too: it may
// have restarted after the server's last heartbeat.
func (r *registrar) Withdraw(id string) bool {
	n := (*Node)(r)
	known := n.tracker.Withdraw(time.Now(), id)
	event.UpstreamDraining.Log("server", id, "state", instance.Deregistered, "known", known)
	n.announceServer()
	return n.preserveDepartures()
}

// Malformed counts a heartbeat that cannot be decoded and logs it at a limited rate, which
// is shared with outdated heartbeats and malformed frames.
func (r *registrar) Malformed(source string, err error) {
	n := (*Node)(r)
	n.metrics.heartbeatsMalformed.Inc()
	if n.malformed.Allow() {
		event.HeartbeatMalformed.LogError(err, "source", source)
	}
}
