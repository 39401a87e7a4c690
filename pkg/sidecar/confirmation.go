package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/instance"
)

// heartbeatConfirmation decides how long a server may be used by the heartbeats that this
// process has received. An earlier process may have acknowledged that a server leaves while the
// store was away, and all processes that knew may have ended since. A single heartbeat may then
// be a late one; a server that has left sends no second one. It is safe for concurrent use; mu
// guards the fields below it.
type heartbeatConfirmation struct {
	// storeAway is set if the store was away when the process started.
	storeAway atomic.Bool
	// interval is the time between two heartbeats of a server.
	interval time.Duration
	// settled is when the process has run for so long that it is bound by what earlier ones
	// have acknowledged.
	settled time.Time

	mu sync.Mutex
	// confirmed is the incarnation whose heartbeats are enough.
	confirmed string
	// startedAtMS is the start of the process or, if that is earlier, of a confirmed server, in
	// Unix milliseconds. A server that started later can't have left before the process started.
	startedAtMS int64
	// candidate is the incarnation of the last unconfirmed heartbeat, sequence its highest
	// sequence, and firstAt and lastAt are the times of its first and last heartbeat.
	candidate       string
	sequence        uint64
	firstAt, lastAt time.Time
}

func newHeartbeatConfirmation(startedAt time.Time, s Settings) *heartbeatConfirmation {
	return &heartbeatConfirmation{
		startedAtMS: startedAt.UnixMilli(), interval: s.Heartbeat,
		settled: startedAt.Add(s.Bounds.Settle - processStartTime),
	}
}

// note takes a heartbeat into account and reports whether it confirms that its server has not
// left. Otherwise the server may be used until the returned time: when the next heartbeat is
// overdue or the process has settled.
func (c *heartbeatConfirmation) note(now time.Time, s instance.Server) (confirmed bool, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	incarnation := s.Incarnation()
	if incarnation == c.confirmed || s.StartedAtMS > c.startedAtMS {
		return true, time.Time{}
	}
	switch {
	case incarnation != c.candidate:
		c.candidate, c.sequence, c.firstAt, c.lastAt = incarnation, s.Sequence, now, now
	case s.Sequence > c.sequence:
		c.sequence, c.lastAt = s.Sequence, now
		// Late heartbeats that were held up by the same cause arrive together.
		if now.Sub(c.firstAt) >= time.Duration(minHeartbeatSpacing*float64(c.interval)) {
			c.confirmed, c.startedAtMS = incarnation, min(c.startedAtMS, s.StartedAtMS)
			return true, time.Time{}
		}
	}
	until = c.lastAt.Add(c.interval + restoreMargin)
	if c.settled.Before(until) {
		until = c.settled
	}
	return false, until
}
