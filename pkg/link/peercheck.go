package link

import (
	"errors"
	"sync"
	"time"
)

// peerCheck pings the peer, and then closes the link, if requests are outstanding and
// nothing is received. A connection can stop delivering while new ones to the same peer
// work. Its timer runs only while requests are outstanding, so that idle links cost no
// wake-ups. It is safe for concurrent use; mu guards the timer.
type peerCheck struct {
	link *Link

	mu      sync.Mutex
	timer   *time.Timer
	running bool
	stopped bool
}

func newPeerCheck(l *Link) *peerCheck { return &peerCheck{link: l} }

// start starts the timer unless it runs.
func (c *peerCheck) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running || c.stopped {
		return
	}
	c.running = true
	if c.timer == nil {
		c.timer = time.AfterFunc(pingAfter, c.run)
		return
	}
	c.timer.Reset(pingAfter)
}

func (c *peerCheck) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.timer != nil {
		c.timer.Stop()
	}
}

// run checks the link and schedules the next check.
func (c *peerCheck) run() {
	next, ok := c.link.checkPeer(time.Now())
	c.mu.Lock()
	c.running = ok && !c.stopped
	if c.running {
		c.timer.Reset(next)
	}
	c.mu.Unlock()
	if oldest, pinged := c.link.outstanding(c.link.receivedAt()); !ok && !(oldest.IsZero() && pinged.IsZero()) {
		c.start() // a request or ping was added after the check
	}
}

// checkPeer checks the link and returns the time until the next check, or false if none is
// needed.
func (l *Link) checkPeer(now time.Time) (time.Duration, bool) {
	if l.ctx.Err() != nil {
		return 0, false
	}
	received := l.receivedAt()
	oldest, pinged := l.outstanding(received)
	switch waited := now.Sub(pinged); {
	case pinged.IsZero() && oldest.IsZero():
		return 0, false
	case pinged.IsZero():
		idle := min(now.Sub(oldest), now.Sub(received))
		if idle < pingAfter {
			return pingAfter - idle, true
		}
		l.ping(now)
		return silentAfter, true
	case waited >= pongTimeout:
		l.cancel(errors.New("link: requests are outstanding and the peer does not respond to pings; closing the link"))
		return 0, false
	case waited >= silentAfter:
		if !l.silent.Swap(true) {
			l.handler.Silent(l)
		}
		return checkInterval, true
	default:
		return silentAfter - waited, true
	}
}

// outstanding returns when the oldest outstanding request was sent and when the last ping
// was, if nothing was received since. Either is zero if there is none.
func (l *Link) outstanding(received time.Time) (oldest, pinged time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pending {
		if oldest.IsZero() || p.since.Before(oldest) {
			oldest = p.since
		}
	}
	if received.After(l.pingedAt) {
		l.pingedAt = time.Time{}
	}
	return oldest, l.pingedAt
}

// receivedAt returns when bytes were last received, by the monotonic clock: a step of the
// time of day must not make a link look silent.
func (l *Link) receivedAt() time.Time { return l.opened.Add(time.Duration(l.lastReceived.Load())) }

// Silent reports whether the peer has left a ping unanswered for a while. The link closes
// if that continues.
func (l *Link) Silent() bool { return l.silent.Load() }

// Probe checks that the peer responds although no request is outstanding.
func (l *Link) Probe() {
	if _, pinged := l.outstanding(l.receivedAt()); pinged.IsZero() {
		l.ping(time.Now())
		l.check.start()
	}
}

func (l *Link) ping(now time.Time) {
	l.mu.Lock()
	l.pingedAt = now
	l.mu.Unlock()
	_ = l.Send(KindPing, struct{}{}) // a failure to send closes the link
}
