package peer

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// conn is one QUIC connection.
type conn struct {
	quic *quic.Conn
	addr string

	mu           sync.Mutex
	received     uint64    // packets received at waitingSince
	waitingSince time.Time // time of the first send after the last received packet; zero if none
}

// unresponsive reports whether something was sent more than UnresponsiveTimeout ago and
// no packet has arrived since. Such a connection may be dead while a new one would work.
func (c *conn) unresponsive(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitingSince.IsZero() {
		return false
	}
	if c.quic.ConnectionStats().PacketsReceived != c.received {
		c.waitingSince = time.Time{}
		return false
	}
	return now.Sub(c.waitingSince) > UnresponsiveTimeout
}

// noteSend records that something is being sent.
func (c *conn) noteSend(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	packets := c.quic.ConnectionStats().PacketsReceived
	if c.waitingSince.IsZero() || packets != c.received {
		c.waitingSince, c.received = now, packets
	}
}

func (c *conn) alive() bool { return c.quic.Context().Err() == nil }
