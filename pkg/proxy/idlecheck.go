package proxy

import "time"

// isQuiet reports whether an idle connection is open and has nothing to read. It does
// not block.
func (c *pooledConn) isQuiet() bool {
	return isOpenAndIdle(c.tcp)
}

// hasUnsolicited reports whether a connection that is not quiet has bytes from the server.
// Otherwise it was closed, which for TLS also shows as bytes on the socket.
func (c *pooledConn) hasUnsolicited() bool {
	var one [1]byte
	_ = c.SetReadDeadline(time.Now().Add(unreadDataTimeout))
	n, _ := c.Conn.Read(one[:])
	return n > 0
}
