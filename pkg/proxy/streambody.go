package proxy

import (
	"bufio"
	"errors"
	"io"
	"sync/atomic"
)

// errAbandoned reports that the exchange ended before its request body was sent.
var errAbandoned = errors.New("the exchange ended before its request body was sent")

// streamBody is the request body of one exchange that is sent while it is being read. It
// flushes the written bytes before each read, because the read may wait for the caller.
type streamBody struct {
	src       io.Reader
	bw        *bufio.Writer
	sendable  <-chan struct{} // closed when the body may be sent; nil: it may be sent at once
	abandoned chan struct{}
	state     atomic.Int32
	// failed is the read error of src. It may be accessed once the writer has ended.
	failed error
}

// States of a streamBody. The transitions from bodyUnread to the other states exclude
// each other, so it is certain whether a body was read before its exchange was abandoned.
// Only an unread body can be sent again.
const (
	bodyUnread = iota
	bodyRead
	bodyAbandoned
)

// abandon makes Read fail if nothing has been read yet, and unblocks a Read that waits for
// sendable. It must be called only once.
func (b *streamBody) abandon() {
	b.state.CompareAndSwap(bodyUnread, bodyAbandoned)
	close(b.abandoned)
}

// abandonedUnread reports whether the body was abandoned before its first read.
func (b *streamBody) abandonedUnread() bool { return b.state.Load() == bodyAbandoned }

func (b *streamBody) Read(p []byte) (int, error) {
	if err := b.bw.Flush(); err != nil {
		return 0, err
	}
	if b.sendable != nil && b.state.Load() == bodyUnread {
		select {
		case <-b.sendable:
		case <-b.abandoned:
		}
	}
	if !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodyAbandoned {
		return 0, errAbandoned
	}
	n, err := b.src.Read(p)
	if err != nil && err != io.EOF {
		b.failed = err
	}
	return n, err
}

func (b *streamBody) Close() error { return nil }
