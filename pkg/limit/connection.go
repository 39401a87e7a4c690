package limit

import (
	"container/list"
	"net"
	"time"
)

// connection is an open connection of a Listener, whose lock guards list and element.
type connection struct {
	net.Conn
	listener *Listener
	since    time.Time
	list     *list.List // list that contains the connection; nil while it is busy
	element  *list.Element
}

// Close removes the connection from its listener and closes it.
func (c *connection) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// unlink removes the connection from its list. The caller holds the listener's lock.
func (c *connection) unlink() {
	if c.list != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}
