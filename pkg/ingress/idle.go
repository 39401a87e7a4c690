package ingress

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// readers holds the read buffers of connections that are idle or have ended.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

func acquireReader(input io.Reader) *bufio.Reader {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(input)
	return reader
}

func releaseReader(reader *bufio.Reader) {
	reader.Reset(nil)
	readers.Put(reader)
}

// awaitRequest waits for the first byte of a request. The idle timeout applies only to a
// connection without pending requests whose responses were written.
func (c *conn) awaitRequest(idle time.Duration) error {
	for {
		buffered := min(idle, keepBuffer)
		err := c.awaitByte(buffered)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if c.isBusy() {
			continue
		}
		if idle == buffered || c.isClosed() {
			return err
		}
		if err := c.awaitReadable(idle - buffered); err != nil {
			return err
		}
	}
}

// isBusy reports whether a response is due or being written.
func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.pending > 0 || c.writing) && !c.closed
}

// awaitByte waits until a byte can be read from the reader.
func (c *conn) awaitByte(timeout time.Duration) error {
	if !c.beginIdle(timeout) {
		return net.ErrClosed
	}
	c.input.Limit(0)
	_, err := c.reader.Peek(1)
	return err
}

// awaitReadable waits until the connection has something to read, or has ended. The connection has no
// read buffer meanwhile, since most connections of a node are idle.
func (c *conn) awaitReadable(timeout time.Duration) error {
	inner, ok := c.inner.(syscall.Conn)
	if !ok {
		return c.awaitByte(timeout)
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return err
	}
	if !c.beginIdle(timeout) {
		return net.ErrClosed
	}
	releaseReader(c.reader)
	c.reader = nil
	defer func() { c.reader = acquireReader(c.input) }()
	var one [1]byte
	return raw.Read(func(fd uintptr) bool {
		for {
			_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !errors.Is(err, syscall.EINTR) {
				return !errors.Is(err, syscall.EAGAIN)
			}
		}
	})
}

// beginIdle sets the time until which a request must begin. It returns false if the connection is
// closing.
func (c *conn) beginIdle(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	_ = c.inner.SetReadDeadline(time.Now().Add(timeout))
	return true
}
