package admission

import "time"

// coldness is what the node knows about how long its server stays cold. It is not safe for
// concurrent use.
//
// A server that restarts under the same id looks like the earlier process until its next
// heartbeat. When the node has a reason to assume a restart, the server counts as cold until the
// health check answers that it is warm, an incarnation that the node did not know sends a
// heartbeat, or the known one sends its second since then: the first may have been sent before the
// restart.
type coldness struct {
	incarnation string
	until       time.Time
	suspected   bool
	suspectedAt time.Time
	heartbeats  int  // of the incarnation since suspectedAt
	asked       bool // the health check was asked since suspectedAt
	askedAt     time.Time
	learnedAt   time.Time // when a heartbeat, the health check or a suspicion last told something
}

// heartbeat records a heartbeat that names the remaining cold time of the server.
func (c *coldness) heartbeat(now time.Time, incarnation string, remaining time.Duration) {
	until := time.Time{}
	c.learnedAt = now
	if remaining > 0 {
		until = now.Add(remaining + coldEndMargin)
	}
	switch {
	case c.incarnation != incarnation:
		c.incarnation, c.until, c.suspected = incarnation, until, false
	case c.suspected:
		c.heartbeats++
		if c.heartbeats < confirmingHeartbeats {
			if until.After(c.until) {
				c.until = until
			}
			return
		}
		c.until, c.suspected = until, false
	default:
		c.until = until
	}
}

// suspect records that the server may have restarted.
func (c *coldness) suspect(now time.Time) {
	c.suspected, c.suspectedAt, c.heartbeats, c.asked, c.learnedAt = true, now, 0, false, now
}

// restore records that the server is known from a peer only: it may have become cold since.
func (c *coldness) restore(now time.Time, incarnation string) {
	c.incarnation = incarnation
	c.suspect(now)
}

// ask reports whether the health check is to be asked now. It is asked once for each suspicion
// and at most once in healthInterval, since it is billed.
func (c *coldness) ask(now time.Time) bool {
	if !c.suspected || c.asked || !c.askedAt.IsZero() && now.Sub(c.askedAt) < healthInterval {
		return false
	}
	c.asked, c.askedAt = true, now
	return true
}

// answer records the remaining cold time that the health check has named. A request that was
// sent before the suspicion may have been answered by the earlier process.
func (c *coldness) answer(now, sent time.Time, remaining time.Duration) {
	if !c.suspected || sent.Before(c.suspectedAt) {
		return
	}
	c.learnedAt = now
	if remaining <= 0 {
		c.suspected, c.until = false, time.Time{}
		return
	}
	c.until = now.Add(remaining + coldEndMargin)
}

// cold reports whether the server counts as cold.
func (c *coldness) cold(now time.Time) bool { return c.suspected || now.Before(c.until) }
