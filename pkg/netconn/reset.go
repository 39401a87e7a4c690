package netconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// resetAwareConn is a TCP connection whose reads end with io.EOF only if the peer has ended its stream.
// The kernel reports a reset, or the loss of the peer, once for a connection: if a write gets it, reads end as
// if the peer had sent all.
type resetAwareConn struct {
	net.Conn
	tcp *net.TCPConn // Conn

	writing sync.Mutex // held by the write in progress
	// aborted is what the kernel has reported to a write; guarded by writing.
	aborted error
}

// ReportResets returns a connection that reports to its reads what the kernel has reported to a write.
// A connection that is not TCP is returned as it is.
func ReportResets(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	return &resetAwareConn{Conn: conn, tcp: tcp}
}

// SyscallConn implements syscall.Conn.
func (c *resetAwareConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// Write implements net.Conn.
func (c *resetAwareConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.aborted == nil && isAbort(err) {
		c.aborted = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetAwareConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if aborted := c.abortion(); aborted != nil {
			return n, aborted
		}
	}
	return n, err
}

// abortion returns why the connection ended if the peer has not ended its stream, or nil.
func (c *resetAwareConn) abortion() error {
	if state, ok := stateOf(c.tcp); ok && state != tcpClose {
		return nil // the peer has ended its stream; a write may go on for long
	}
	// The write in progress ends at once, since the connection has no peer any more.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.aborted
}

// isAbort reports whether the error of a write tells that the connection ended before the stream of the
// peer. EPIPE doesn't: the kernel reports it for a reset that comes after the end of the stream.
func isAbort(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}
