package sidecar

import (
	"time"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/instance"
)

// registrar takes the heartbeats of the server beside the node. The answer to a
// heartbeat waits for nothing: the gate itself guarantees what it acknowledges.
type registrar Node

// Heartbeat takes a valid heartbeat.
func (r *registrar) Heartbeat(s instance.Server) {
	n := (*Node)(r)
	now := time.Now()
	before, known := n.tracker.Current(now)
	verdict := n.tracker.Observe(now, s)
	if verdict == instance.Outdated {
		if n.malformed.Allow() {
			event.HeartbeatOutdated.Log("server", s.ID, "born", s.StartedAtMS, "sequence", s.Sequence, "state", s.State)
		}
		return
	}
	if verdict == instance.Changed {
		log := event.UpstreamAnnounced
		if s.State != instance.Ready {
			log = event.UpstreamDraining
		}
		log.Log("server", s.ID, "born", s.StartedAtMS, "version", s.Version, "state", s.State, "slots", s.Slots)
		if !known || before.ID != s.ID || before.StartedAtMS != s.StartedAtMS {
			n.gate.NewIncarnation(now)
		}
	}
	if verdict == instance.Changed || !known {
		n.gate.ServerChanged(now)
		n.announceServer()
	}
}

// Withdraw takes the withdrawal of the server's registration.
func (r *registrar) Withdraw(id string) {
	n := (*Node)(r)
	if !n.tracker.Withdraw(time.Now(), id) {
		event.HeartbeatOutdated.Log("server", id, "state", instance.Deregistered)
		return
	}
	event.UpstreamDraining.Log("server", id, "state", instance.Deregistered)
	n.announceServer()
}

// Malformed records a heartbeat that can't be read.
func (r *registrar) Malformed(source string, err error) {
	n := (*Node)(r)
	n.metrics.heartbeatsMalformed.Inc()
	if n.malformed.Allow() {
		event.HeartbeatMalformed.LogError(err, "source", source)
	}
}
