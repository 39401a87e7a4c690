package backend

import (
	"time"

	"corianderwood.example/corianderwood/pkg/netconn"
)

// broken calls Options.Broken if the server has ended the connection and may have restarted.
func (c *Client) broken(conn *connection) {
	if c.opts.Broken == nil || netconn.Established(conn.Conn) || c.sameProcess(conn) {
		return
	}
	c.opts.Broken()
}

// sameProcess reports whether the end of the connection can't be a restart of the server that is
// not known yet: it is known to be replaced or that it may be, or another connection is open that
// existed when the server was last heard on this one.
func (c *Client) sameProcess(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.epoch != c.epoch || conn.reported {
		return true
	}
	var ended []*connection
	for other := range c.open {
		switch {
		case other == conn:
		case !netconn.Established(other.Conn):
			ended = append(ended, other)
		case other.epoch == conn.epoch && !other.openedAt.After(conn.aliveAt()):
			return true
		}
	}
	for _, other := range ended { // what is asked from now on tells about their end too
		other.reported = true
	}
	return false
}

// aliveAt returns when the server was last known to serve the connection.
func (c *connection) aliveAt() time.Time {
	if c.idleSince.After(c.openedAt) {
		return c.idleSince
	}
	return c.openedAt
}

// lostEarly reports whether the server has ended an idle connection before its keep-alive time,
// after which it does so regularly.
func (c *connection) lostEarly(now time.Time) bool {
	return now.Sub(c.idleSince) <= c.keepAlive-keepAliveMargin && !netconn.Established(c.Conn)
}
