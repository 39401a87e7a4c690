package ingress

import (
	"context"
	"time"
)

// evict makes the connection release memory, and reports whether it waits for its client. A request
// that was received in part is refused with 408, an idle connection is closed, and so is one whose
// client does not read its response.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.sending.Load():
		c.server.metrics.closed(closedUnread, c.inner.RemoteAddr())
		_ = c.inner.Close()
	case c.receiving && !c.stopped:
		c.server.metrics.closed(closedIncomplete, c.inner.RemoteAddr())
		c.stopped = true
		_ = c.inner.SetReadDeadline(time.Unix(1, 0))
	case c.isIdle():
		c.server.metrics.closed(closedIdle, c.inner.RemoteAddr())
		c.closed = true
		_ = c.inner.SetReadDeadline(time.Unix(1, 0))
	default:
		return false
	}
	return true
}

// isIdle reports whether the connection has no request. The caller holds mu.
func (c *conn) isIdle() bool { return c.pending == 0 && !c.receiving && !c.writing && !c.closed }

// evictionRank tells which connections are closed first if connections are short.
type evictionRank int

const (
	// rankFresh is the rank of connections that have not sent a whole request in minIdle, and
	// rankNew that of those that have had less time. They are not closed, but neither are idle ones
	// for their sake.
	rankFresh evictionRank = iota
	rankNew
	rankIdle
	// rankUnread is the rank of those whose clients take long to read a response.
	rankUnread
	// rankKept is the rank of those that are not closed: a request is in progress, or the last
	// progress was too recent.
	rankKept
)

func (c *conn) evictionRank() evictionRank {
	stalled := c.holder.Stalled()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.served && c.pending == 0 && !c.writing && stalled < minIdle:
		return rankNew
	case !c.served && c.pending == 0 && !c.writing:
		return rankFresh
	case stalled < minIdle:
		return rankKept
	case c.isIdle():
		return rankIdle
	case c.sending.Load() && stalled > minStall:
		return rankUnread
	default:
		return rankKept
	}
}

// closeNow closes the connection. A request that was received in part has not run.
func (c *conn) closeNow(why closeReason) {
	c.server.metrics.closed(why, c.inner.RemoteAddr())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.inner.Close()
}

// makeRoom closes the connection that has made no progress for the longest time if there are as many
// as allowed, or waits for one to end. It reports whether a further connection may be served.
func (s *Server) makeRoom(ctx context.Context) bool {
	if s.maxConns <= 0 {
		return true
	}
	for deadline := time.Now().Add(slotWait); ctx.Err() == nil; time.Sleep(slotPoll) {
		if s.connections() < s.maxConns {
			return true
		}
		if victim := s.leastActive(); victim != nil {
			s.track(victim, false)
			victim.closeNow(closedForOther)
			return true
		}
		if time.Now().After(deadline) {
			break
		}
	}
	return false
}

func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// leastActive returns the connection that is closed first if connections are short, or nil if all are
// in use or that one is new.
func (s *Server) leastActive() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var least *conn
	var rank evictionRank
	var stalled time.Duration
	for c := range s.conns {
		r, t := c.evictionRank(), c.holder.Stalled()
		if r != rankKept && (least == nil || r < rank || r == rank && t > stalled) {
			least, rank, stalled = c, r, t
		}
	}
	if rank == rankNew {
		return nil
	}
	return least
}
