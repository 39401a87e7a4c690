package instance

import (
	"sync"
	"time"
)

// Effect is the effect of a heartbeat on the tracked server.
type Effect uint8

// Effects of a heartbeat.
const (
	// Refreshed means that the heartbeat confirms the known state.
	Refreshed Effect = iota
	// Changed means a new incarnation, or a changed state, version, address or number of
	// slots of the current one.
	Changed
	// Outdated means that the heartbeat is late or of an earlier incarnation, and was
	// ignored.
	Outdated
)

// Tracker tracks the current incarnation of the server beside the node. It is safe for
// concurrent use; mu guards the state.
type Tracker struct {
	mu            sync.Mutex
	server        Server
	known         bool
	lastHeartbeat time.Time // time of the last accepted heartbeat
	drainingSince time.Time // when the node received, and so acknowledged, the drain; zero while ready
	restored      bool      // the server was restored and has sent no heartbeat
	currentUntil  time.Time // until when the server is current at most; zero without such a limit
	// departures are those of servers that ran beside the node, this process or an earlier one.
	// An incarnation that has left can't become Ready, even if this process never knew it.
	departures Departures
	expiry     time.Duration
}

// NewTracker returns a tracker without a server. A server is no longer current when no
// heartbeat has arrived for the expiry.
func NewTracker(expiry time.Duration) *Tracker { return &Tracker{expiry: expiry} }

// Observe processes one valid heartbeat. An incarnation that is draining or deregistered
// can't become Ready again.
func (t *Tracker) Observe(now time.Time, s Server) Effect {
	return t.ObserveUntil(now, s, time.Time{})
}

// ObserveUntil is Observe for a heartbeat that makes its server current until the given time
// at most; zero means no limit besides the expiry.
func (t *Tracker) ObserveUntil(now time.Time, s Server, until time.Time) Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.State != Ready {
		t.departures = t.departures.With(Departure{Incarnation: s.Incarnation()})
	}
	if t.known && !t.supersedes(now, s) || s.State == Ready && t.departures.Cover(s) {
		return Outdated
	}
	same := t.known && t.server.ID == s.ID && t.server.StartedAtMS == s.StartedAtMS
	if same && t.server.State != Ready && s.State == Ready {
		return Outdated
	}
	changed := !same || t.server.State != s.State || t.server.Version != s.Version || t.server.Slots != s.Slots || t.server.Address != s.Address
	if !same || s.State == Ready {
		t.drainingSince = time.Time{}
	}
	if s.State != Ready && t.drainingSince.IsZero() {
		t.drainingSince = now
	}
	t.server, t.known, t.lastHeartbeat, t.restored, t.currentUntil = s, true, now, false, until
	if changed {
		return Changed
	}
	return Refreshed
}

// Knows reports whether the incarnation of s is the tracked one.
func (t *Tracker) Knows(s Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known && t.server.Incarnation() == s.Incarnation()
}

// supersedes reports whether a heartbeat is newer than the known state. An incarnation
// without a later start time supersedes the known one only after that has expired: the
// system clock may have been set back.
func (t *Tracker) supersedes(now time.Time, s Server) bool {
	if s.ID == t.server.ID && s.StartedAtMS == t.server.StartedAtMS {
		return s.Sequence > t.server.Sequence
	}
	return s.StartedAtMS > t.server.StartedAtMS || now.Sub(t.lastHeartbeat) > t.expiry
}

// Withdraw records that a server has withdrawn its registration. It returns false if id is
// not the tracked server, which stays as it is. A process that has just started may not know
// the server yet: a heartbeat that the server sent before is then ignored when it arrives.
func (t *Tracker) Withdraw(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || t.server.ID != id {
		t.departures = t.departures.With(Departure{ID: id, StartedUntilMS: now.UnixMilli()})
		return false
	}
	t.departures = t.departures.With(Departure{Incarnation: t.server.Incarnation()})
	t.server.State, t.lastHeartbeat, t.restored, t.currentUntil = Deregistered, now, false, time.Time{}
	if t.drainingSince.IsZero() {
		t.drainingSince = now
	}
	return true
}

// Leave records that the given incarnation has said, other than by a heartbeat, that it
// leaves. It returns false if that is not the tracked server or it is known to leave; a
// later heartbeat can't make the incarnation Ready then either.
func (t *Tracker) Leave(now time.Time, incarnation string) bool {
	return t.AddDepartures(now, Departures{{Incarnation: incarnation}})
}

// AddDepartures adds departures that this process may not know yet. It reports whether the
// tracked server was Ready and is one of those that have left.
func (t *Tracker) AddDepartures(now time.Time, all Departures) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.departures = t.departures.With(all...)
	if !t.known || t.server.State != Ready || !all.Cover(t.server) {
		return false
	}
	t.server.State, t.drainingSince = Draining, now
	return true
}

// Departures returns the known departures.
func (t *Tracker) Departures() Departures {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.departures.With()
}

// Restore makes s, as a peer knew it before this node restarted, the current server until
// its next heartbeat, at most until the given time and for the expiry. It returns false, and
// changes nothing, if a heartbeat or withdrawal has arrived, a server with the same or a
// later start is already restored, the server has left, or the time has passed.
func (t *Tracker) Restore(now time.Time, s Server, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && (!t.restored || t.server.StartedAtMS >= s.StartedAtMS) || !now.Before(until) || t.departures.Cover(s) {
		return false
	}
	s.Sequence = 0
	t.server, t.known, t.lastHeartbeat, t.restored, t.currentUntil = s, true, now, true, until
	return true
}

// DropRestored removes a restored server that has sent no heartbeat. It reports whether
// there was one.
func (t *Tracker) DropRestored() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.restored {
		return false
	}
	t.known, t.restored, t.currentUntil = false, false, time.Time{}
	return true
}

// MarkDown records that the server refuses connections. It is not current until its next
// heartbeat.
func (t *Tracker) MarkDown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastHeartbeat = time.Time{}
}

// Current returns the current incarnation. It returns false if none is known, its last
// heartbeat is older than the expiry, or the time until which it is current has passed.
func (t *Tracker) Current(now time.Time) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || now.Sub(t.lastHeartbeat) > t.expiry || !t.currentUntil.IsZero() && !now.Before(t.currentUntil) {
		return Server{}, false
	}
	return t.server, true
}

// LeavingSince returns when the node received, and so acknowledged, the heartbeat or
// withdrawal by which the current incarnation became draining or deregistered; zero if it
// is ready.
func (t *Tracker) LeavingSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainingSince
}
