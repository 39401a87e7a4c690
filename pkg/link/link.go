package link

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// ErrBehind means that the peer does not read as fast as frames are sent.
var ErrBehind = errors.New("link: too many frames wait to be sent; the peer or its connection is stuck")

// Link is one connection to a peer. It is safe for concurrent use; mu guards the
// outstanding requests. One goroutine reads, one writes, one watches for silence.
type Link struct {
	// Peer is what the other side said of itself.
	Peer    Hello
	conn    net.Conn
	handler Handler
	uplink  *uplink.Scheduler
	out     chan []byte
	large   chan *transfer
	ctx     context.Context
	cancel  context.CancelCauseFunc
	heard   atomic.Int64 // Unix nanoseconds of the last received bytes

	transfers  atomic.Uint64        // identifies large frames
	assemblies map[uint64]*assembly // large frames on their way here; the reader's

	mu       sync.Mutex
	sequence uint64
	pending  map[uint64]pendingCall
	serving  map[uint64]context.CancelFunc
	// responding holds the large responses that wait to be sent, by request.
	responding map[uint64]*transfer
}

type pendingCall struct {
	since time.Time
	done  chan call.Response
}

// Open exchanges greetings on a new connection. Run must be called next. The
// scheduler plans what all links of the node send.
func Open(ctx context.Context, conn net.Conn, self Hello, handler Handler, up *uplink.Scheduler) (*Link, error) {
	hello, err := encode(KindHello, self)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	if _, err := conn.Write(hello); err != nil {
		return nil, err
	}
	l := &Link{
		conn: conn, handler: handler, uplink: up,
		out: make(chan []byte, outboundFrames), large: make(chan *transfer, outboundTransfers),
		pending: make(map[uint64]pendingCall), serving: make(map[uint64]context.CancelFunc),
		assemblies: make(map[uint64]*assembly), responding: make(map[uint64]*transfer),
	}
	l.ctx, l.cancel = context.WithCancelCause(ctx)
	return l, nil
}

// Run serves the link until it ends and returns why. It calls ready after the
// peer's greeting.
func (l *Link) Run(ready func(*Link)) error {
	reader := bufio.NewReaderSize(hearing{l}, readBuffer)
	kind, body, err := readFrame(reader)
	if err == nil && kind != KindHello {
		err = errors.New("link: the first frame is not a greeting")
	}
	if err == nil {
		err = cbor.Unmarshal(body, &l.Peer)
	}
	if err != nil {
		l.cancel(err)
		_ = l.conn.Close()
		return err
	}
	_ = l.conn.SetDeadline(time.Time{})
	var wg sync.WaitGroup
	wg.Go(l.write)
	wg.Go(l.watch)
	stop := context.AfterFunc(l.ctx, func() { _ = l.conn.Close() })
	ready(l)
	err = l.read(reader)
	l.cancel(err)
	stop()
	_ = l.conn.Close()
	l.failPending()
	wg.Wait()
	return context.Cause(l.ctx)
}

// Do sends a request to the peer's server and waits for the outcome. When the
// link is lost, the outcome is unknown.
func (l *Link) Do(ctx context.Context, req *call.Request) call.Response {
	return l.ask(ctx, KindRequest, func(seq uint64) any { return newRequestFrame(seq, time.Now(), req) }, urgency{by: req.SoftDeadline, until: req.Deadline})
}

// Outcome asks what became of a call that an earlier link carried.
func (l *Link) Outcome(ctx context.Context, id ledger.CallID, deadline time.Time) call.Response {
	return l.ask(ctx, KindOutcomeWanted, func(seq uint64) any {
		return outcomeFrame{Sequence: seq, Call: id, Left: time.Until(deadline).Microseconds()}
	}, urgency{by: deadline, until: deadline})
}

func (l *Link) ask(ctx context.Context, kind Kind, frame func(uint64) any, u urgency) call.Response {
	done := make(chan call.Response, 1)
	l.mu.Lock()
	l.sequence++
	seq := l.sequence
	l.pending[seq] = pendingCall{since: time.Now(), done: done}
	l.mu.Unlock()
	if err := l.send(kind, frame(seq), u); err != nil {
		l.forget(seq)
		return call.Refused(reason.PeerConnect, 0)
	}
	select {
	case res := <-done:
		return res
	case <-ctx.Done():
		l.forget(seq)
		_ = l.Send(KindCancel, cancelFrame{seq}) // a lost link cancels by itself
		return call.Response{Refusal: reason.Canceled, Ran: reason.RanUnknown, ReachedServer: true}
	case <-l.ctx.Done():
		select {
		case res := <-done:
			return res
		default:
			return brokenLink()
		}
	}
}

func brokenLink() call.Response {
	return call.Response{Refusal: reason.PeerFailed, Ran: reason.RanUnknown, ReachedServer: true}
}

// Send queues one frame. It never blocks.
func (l *Link) Send(kind Kind, v any) error {
	return l.send(kind, v, urgency{by: time.Now().Add(controlTarget)})
}

// send queues one frame. The urgency matters for large frames only.
func (l *Link) send(kind Kind, v any, u urgency) error {
	frame, err := encode(kind, v)
	if err != nil {
		return err
	}
	return l.sendFrame(frame, u)
}

func (l *Link) sendFrame(frame []byte, u urgency) error {
	if l.ctx.Err() != nil {
		return context.Cause(l.ctx)
	}
	if len(frame) >= uplink.PartBytes {
		return l.enqueue(frame, u)
	}
	select {
	case l.out <- frame:
		return nil
	default:
		l.cancel(ErrBehind)
		return ErrBehind
	}
}

// Alive reports whether the link is up.
func (l *Link) Alive() bool { return l.ctx.Err() == nil }

func (l *Link) forget(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, seq)
}

func (l *Link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for seq, p := range l.pending {
		p.done <- brokenLink()
		delete(l.pending, seq)
	}
}

// watch checks a link whose requests stay without any sign of the peer, because
// a connection can go silent while new ones work.
func (l *Link) watch() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			oldest, ok := l.oldestPending()
			if !ok {
				continue
			}
			heard := time.Unix(0, l.heard.Load())
			quiet := now.Sub(heard)
			if waited := now.Sub(oldest); waited < quiet {
				quiet = waited
			}
			if quiet > pingAfter+pongTimeout {
				l.cancel(errors.New("link: the peer does not answer"))
				return
			}
			if quiet > pingAfter {
				_ = l.Send(KindPing, struct{}{}) // a failure ends the link
			}
		}
	}
}

func (l *Link) oldestPending() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest time.Time
	for _, p := range l.pending {
		if oldest.IsZero() || p.since.Before(oldest) {
			oldest = p.since
		}
	}
	return oldest, !oldest.IsZero()
}
