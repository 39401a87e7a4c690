package proxy

import "net"

// corkedConn is a connection that can hold back what is written, to send it at once. One
// goroutine uses it.
type corkedConn struct {
	net.Conn
	corked bool
	held   []byte
}

func (c *corkedConn) Write(p []byte) (int, error) {
	if !c.corked {
		return c.Conn.Write(p)
	}
	c.held = append(c.held, p...)
	return len(p), nil
}

// uncork sends what was held back.
func (c *corkedConn) uncork() {
	c.corked = false
	_, _ = c.Conn.Write(c.held)
	c.held = nil
}
