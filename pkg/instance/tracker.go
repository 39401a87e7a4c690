package instance

import (
	"sync"
	"time"
)

// Effect is what a heartbeat changed.
type Effect uint8

// Verdicts on a heartbeat.
const (
	// Refreshed heartbeats confirm what is known.
	Refreshed Effect = iota
	// Changed heartbeats start an incarnation or change its state.
	Changed
	// Outdated heartbeats belong to an earlier incarnation or arrive late; they
	// change nothing.
	Outdated
)

// Tracker holds the current incarnation of the server beside the node. It is
// safe for concurrent use; mu guards the state.
type Tracker struct {
	mu      sync.Mutex
	server  Server
	known   bool
	heard   time.Time // last heartbeat that counted
	leaving time.Time // when the leave was acknowledged; zero while ready
	adopted time.Time // until when a remembered server counts; zero after a heartbeat
	expiry  time.Duration
}

// NewTracker returns a tracker without a server. A server counts as lost when no
// heartbeat arrives for the expiry.
func NewTracker(expiry time.Duration) *Tracker { return &Tracker{expiry: expiry} }

// Observe takes one valid heartbeat. A leave is final for its incarnation.
func (t *Tracker) Observe(now time.Time, s Server) Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && !t.supersedes(now, s) {
		return Outdated
	}
	same := t.known && t.server.ID == s.ID && t.server.StartedAtMS == s.StartedAtMS
	if same && t.server.State != Ready && s.State == Ready {
		return Outdated
	}
	changed := !same || t.server.State != s.State || t.server.Version != s.Version || t.server.Slots != s.Slots || t.server.Address != s.Address
	if !same || s.State == Ready {
		t.leaving = time.Time{}
	}
	if s.State != Ready && t.leaving.IsZero() {
		t.leaving = now
	}
	t.server, t.known, t.heard, t.adopted = s, true, now, time.Time{}
	if changed {
		return Changed
	}
	return Refreshed
}

// supersedes reports whether a heartbeat is newer than what is known. An
// incarnation with an earlier start counts only when the known one has fallen
// silent, since the time of day may have stepped back.
func (t *Tracker) supersedes(now time.Time, s Server) bool {
	if s.ID == t.server.ID && s.StartedAtMS == t.server.StartedAtMS {
		return s.Sequence > t.server.Sequence
	}
	return s.StartedAtMS > t.server.StartedAtMS || now.Sub(t.heard) > t.expiry
}

// Withdraw takes the withdrawal of a server's registration. It reports whether
// it concerns the current incarnation.
func (t *Tracker) Withdraw(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || t.server.ID != id {
		return false
	}
	t.server.State, t.heard, t.adopted = Deregistered, now, time.Time{}
	if t.leaving.IsZero() {
		t.leaving = now
	}
	return true
}

// Restore takes what is remembered of the server until its next heartbeat, at the latest
// until the given time. It reports whether it is news: heartbeats, and what is
// remembered of a later start, go first.
func (t *Tracker) Restore(now time.Time, s Server, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && (t.adopted.IsZero() || t.server.StartedAtMS >= s.StartedAtMS) || !now.Before(until) {
		return false
	}
	s.Sequence = 0
	t.server, t.known, t.heard, t.adopted = s, true, now, until
	return true
}

// DropRestored drops a server that was adopted. It reports whether there was one.
func (t *Tracker) DropRestored() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.adopted.IsZero() {
		return false
	}
	t.known, t.adopted = false, time.Time{}
	return true
}

// MarkDown records that the server refuses connections. It counts as lost until
// its next heartbeat.
func (t *Tracker) MarkDown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = time.Time{}
}

// Current returns the current incarnation, and false if none is known or its
// heartbeats have stopped.
func (t *Tracker) Current(now time.Time) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known || now.Sub(t.heard) > t.expiry || !t.adopted.IsZero() && !now.Before(t.adopted) {
		return Server{}, false
	}
	return t.server, true
}

// LeavingSince returns when the current incarnation's leave was acknowledged;
// zero if it is not leaving.
func (t *Tracker) LeavingSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}
