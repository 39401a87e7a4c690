package backend

import (
	"net"
	"sync"
	"time"
)

// alreadyPast is a deadline that ends all reads and writes.
var alreadyPast = time.Unix(1, 0)

// deadlines sets the deadlines of a connection. The zero value is ready for use; it is safe for concurrent
// use. mu guards the fields below it.
type deadlines struct {
	mu       sync.Mutex
	deadline time.Time // of the exchange
	canceled bool
}

// set sets the deadline of the exchange; the zero time means none.
func (d *deadlines) set(conn net.Conn, deadline time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadline = deadline
	if !d.canceled {
		_ = conn.SetDeadline(deadline) // fails only if the connection has ended
	}
}

// cancel ends the reads and writes of the exchange, also later ones.
func (d *deadlines) cancel(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.canceled = true
	_ = conn.SetDeadline(alreadyPast) // as above
}

// limitReads bounds the time of reads, besides the deadline, until the returned function is called.
func (d *deadlines) limitReads(conn net.Conn, limit time.Duration) (restore func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := time.Now().Add(limit); !d.canceled && (d.deadline.IsZero() || until.Before(d.deadline)) {
		_ = conn.SetReadDeadline(until) // as above
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.canceled {
			_ = conn.SetReadDeadline(d.deadline) // as above
		}
	}
}
