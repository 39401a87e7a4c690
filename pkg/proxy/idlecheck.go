package proxy

import (
	"errors"
	"os"
	"time"
)

// isQuiet reports whether an idle connection is open and has nothing to read. TLS may have
// read more from the socket than the exchange needed, so both are checked. It does not block.
func (c *pooledConn) isQuiet() bool {
	if c.Conn != c.tcp {
		if err := c.readUnsolicited(alreadyPast); !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
	return !c.unsolicited && isOpenAndIdle(c.tcp)
}

// hasUnsolicited reports whether a connection that is not quiet has bytes from the server.
// Otherwise it was closed, which for TLS also shows as bytes on the socket.
func (c *pooledConn) hasUnsolicited() bool {
	if !c.unsolicited {
		_ = c.readUnsolicited(time.Now().Add(unreadDataTimeout))
	}
	return c.unsolicited
}

// alreadyPast is a deadline that lets a read return only what is in memory.
var alreadyPast = time.Unix(1, 0)

// readUnsolicited reads one byte, which is lost, and records whether there was one.
func (c *pooledConn) readUnsolicited(deadline time.Time) error {
	var one [1]byte
	_ = c.SetReadDeadline(deadline)
	n, err := c.Conn.Read(one[:])
	_ = c.SetReadDeadline(time.Time{})
	c.unsolicited = c.unsolicited || n > 0
	return err
}
