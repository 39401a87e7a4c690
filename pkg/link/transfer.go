package link

import (
	"context"
	"encoding/binary"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// partHeader is the length in bytes of a part's header: 8 for the identifier of the
// transfer, 4 for its size.
const partHeader = 12

// urgency is the time frame in which a large frame should be sent.
type urgency struct {
	// softDeadline is when the frame should have been sent. Among the large frames that
	// the links of the node are sending, the one with the earliest goes first; those of
	// one link are sent in the order in which they were queued.
	softDeadline time.Time
	// deadline is when the frame becomes useless; zero means never.
	deadline time.Time
	// canceled is closed when the frame becomes useless before its deadline; nil means never.
	canceled <-chan struct{}
	// response is the sequence of the request to which the frame is the response; 0 for
	// other frames.
	response uint64
	// shared means that the frame is held for other links too, so that it does not count as
	// memory of this one.
	shared bool
}

// transfer is a large frame that is sent in parts, so that small frames can be sent
// between them. Except for dropped, it is owned by the writing goroutine.
type transfer struct {
	urgency
	id             uint64
	content        []byte // kind and body of the frame
	sent           int
	uplinkTransfer *uplink.Transfer
	hold           boundedio.Hold
	dropped        atomic.Bool // the caller no longer waits for the rest
}

// abandoned reports whether the rest of the transfer need not be sent.
func (t *transfer) abandoned(now time.Time) bool {
	select {
	case <-t.canceled:
		return true
	default:
		return t.dropped.Load() || !t.deadline.IsZero() && now.After(t.deadline)
	}
}

// nextPart returns the frame with the next n bytes of the content. A frame with no bytes
// of the content ends the transfer early.
func (t *transfer) nextPart(n int) []byte {
	out := make([]byte, frameHeader+partHeader, frameHeader+partHeader+n)
	binary.BigEndian.PutUint32(out, uint32(partHeader+n))
	out[4] = byte(KindPart)
	binary.BigEndian.PutUint64(out[frameHeader:], t.id)
	binary.BigEndian.PutUint32(out[frameHeader+8:], uint32(len(t.content)))
	out = append(out, t.content[t.sent:t.sent+n]...)
	t.sent += n
	return out
}

// enqueue queues a large frame for the writing goroutine. Once it is the first of its
// link, more urgent frames on other links of the node are still sent before it.
func (l *Link) enqueue(frame []byte, u urgency) error {
	content := frame[frameHeader-1:]
	t := &transfer{urgency: u, id: l.transferID.Add(1), content: content, uplinkTransfer: l.uplink.NewTransfer(u.softDeadline, len(content))}
	t.hold = l.bodies.Whole().HoldFor(l.holder)
	if !u.shared {
		t.hold.Force(len(frame))
	}
	if u.response != 0 {
		l.mu.Lock()
		l.responseTransfers[u.response] = t
		l.mu.Unlock()
	}
	if !l.queue.addTransfer(t) {
		l.finish(t)
		l.cancel(ErrSendQueueFull)
		return context.Cause(l.ctx)
	}
	l.startWriting()
	return nil
}

// finish removes a transfer that was sent or abandoned from the backlog of the node's
// uplink.
func (l *Link) finish(t *transfer) {
	t.uplinkTransfer.Close()
	t.hold.Release()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.responseTransfers, t.response)
}

// dropResponse ends the sending of the response to a request.
func (l *Link) dropResponse(response uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.responseTransfers[response]; ok {
		t.dropped.Store(true)
	}
}
