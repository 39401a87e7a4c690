package link

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/uplink"
)

// partHeader is the identifier of the transfer in 8 bytes and its size in 4.
const partHeader = 12

// urgency tells when a large frame should be sent.
type urgency struct {
	// by is when it should have been sent; frames with the earliest time go first.
	by time.Time
	// until is when nobody waits for it any more; zero is never.
	until time.Time
	// response is the request that the frame answers; 0 for other frames.
	response uint64
}

// transfer is a large frame that is sent in parts, so that small frames pass it.
// The writing goroutine owns it.
type transfer struct {
	urgency
	id      uint64
	content []byte // kind and body of the frame
	sent    int
	ticket  *uplink.Transfer
	dropped atomic.Bool // nobody waits for the rest
}

// useless reports whether the rest of the transfer need not be sent.
func (t *transfer) useless(now time.Time) bool {
	return t.dropped.Load() || !t.until.IsZero() && now.After(t.until)
}

// part returns the frame with the next n bytes; without bytes it ends the transfer.
func (t *transfer) part(n int) []byte {
	out := make([]byte, frameHeader+partHeader, frameHeader+partHeader+n)
	binary.BigEndian.PutUint32(out, uint32(partHeader+n))
	out[4] = byte(KindPart)
	binary.BigEndian.PutUint64(out[frameHeader:], t.id)
	binary.BigEndian.PutUint32(out[frameHeader+8:], uint32(len(t.content)))
	out = append(out, t.content[t.sent:t.sent+n]...)
	t.sent += n
	return out
}

// enqueue hands a large frame to the writing goroutine. Frames that are more urgent
// on other links of the node go first.
func (l *Link) enqueue(frame []byte, u urgency) error {
	content := frame[frameHeader-1:]
	t := &transfer{urgency: u, id: l.transfers.Add(1), content: content, ticket: l.uplink.NewTransfer(u.by, len(content))}
	if u.response != 0 {
		l.mu.Lock()
		l.responding[u.response] = t
		l.mu.Unlock()
	}
	select {
	case l.large <- t:
		return nil
	default:
		l.finish(t)
		l.cancel(ErrBehind)
		return ErrBehind
	}
}

// finish takes a transfer that was sent or given up out of the node's backlog.
func (l *Link) finish(t *transfer) {
	t.ticket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.responding, t.response)
}

// drop gives up what is left of a response.
func (l *Link) drop(response uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.responding[response]; ok {
		t.dropped.Store(true)
	}
}

// assembly collects the parts of a transfer.
type assembly struct {
	size    int
	content []byte
}

// collect takes one part and returns the frame when it is whole. Only the reading
// goroutine calls it.
func (l *Link) collect(body []byte) (Kind, []byte, bool) {
	if len(body) < partHeader {
		return 0, nil, false
	}
	id, size := binary.BigEndian.Uint64(body), int(binary.BigEndian.Uint32(body[8:]))
	payload := body[partHeader:]
	if len(payload) == 0 || size > maxFrameBytes {
		delete(l.assemblies, id)
		return 0, nil, false
	}
	a, ok := l.assemblies[id]
	if !ok {
		a = &assembly{size: size, content: make([]byte, 0, size)}
		l.assemblies[id] = a
	}
	a.content = append(a.content, payload...)
	if len(a.content) < a.size {
		return 0, nil, false
	}
	delete(l.assemblies, id)
	return Kind(a.content[0]), a.content[1:], true
}
