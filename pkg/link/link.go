package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// ErrSendQueueFull means that the peer reads more slowly than frames are sent.
var ErrSendQueueFull = errors.New("link: send queue is full because the peer or its connection does not take frames; closing the link")

// errMemoryReclaimed ends a link that held memory without progress while memory was short.
var errMemoryReclaimed = errors.New("link: the peer holds memory and neither sends nor reads; closing the link since memory is short")

// Link is one connection to a peer. It is safe for concurrent use; mu guards the
// outstanding requests. One goroutine reads. While frames are queued another one writes, and
// while requests are outstanding a timer checks that the peer is responsive.
type Link struct {
	// Peer is the hello of the other side. It is valid once Run has called ready.
	Peer         Hello
	conn         net.Conn
	handler      Handler
	uplink       *uplink.Scheduler
	bodies       *boundedio.Budget
	holder       *boundedio.Holder // of the memory that is held for the peer
	metrics      *Metrics
	downlink     *Downlink
	queue        sendQueue
	ctx          context.Context
	cancel       context.CancelCauseFunc
	opened       time.Time
	lastReceived atomic.Int64 // nanoseconds from opened until bytes were last received
	check        *peerCheck
	// silent means that the peer has left a ping unanswered for silentAfter.
	silent atomic.Bool

	// sending tells that bytes are being written, which may wait for the peer to read them, and
	// assembling that a large frame has arrived in part.
	sending, assembling atomic.Bool

	transferID atomic.Uint64 // identifier of the last large frame
	assembly   *assembly     // large frame received in part, or nil; owned by the reading goroutine

	mu       sync.Mutex
	sequence uint64
	pingedAt time.Time // when the last ping was sent; zero once something is received
	pending  map[uint64]pendingCall
	serving  map[uint64]context.CancelFunc
	// responseTransfers holds the large responses that are not sent completely, by request.
	responseTransfers map[uint64]*transfer
}

type pendingCall struct {
	since time.Time
	done  chan call.Response
	// granted receives the answer to the announcement of a large request; nil without one.
	granted chan transferGrantFrame
}

// Open sends this node's hello on a new connection. Run must be called next, once. The
// link ends with ctx. If Open fails, the caller closes conn; otherwise Run does.
func Open(ctx context.Context, conn net.Conn, self Hello, handler Handler, shared Shared) (*Link, error) {
	self.GrantsTransfers = shared.Downlink.limited()
	hello, err := encode(KindHello, self)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	if _, err := conn.Write(hello); err != nil {
		return nil, err
	}
	l := &Link{
		opened: time.Now(), conn: conn, handler: handler, uplink: shared.Uplink, bodies: shared.Bodies, metrics: shared.Metrics, downlink: shared.Downlink,
		queue: newSendQueue(), pending: make(map[uint64]pendingCall), serving: make(map[uint64]context.CancelFunc),
		responseTransfers: make(map[uint64]*transfer),
	}
	l.ctx, l.cancel = context.WithCancelCause(ctx)
	l.check = newPeerCheck(l)
	l.holder = shared.Bodies.Whole().NewHolderFor(boundedio.Owner{Kind: holderKind, Conn: conn}, minStall, func() bool {
		if !l.sending.Load() && !l.assembling.Load() {
			return false // the memory is needed by this node's own network link
		}
		l.metrics.closedForMemory(conn.RemoteAddr().String())
		l.cancel(errMemoryReclaimed)
		return true
	})
	return l, nil
}

// Run serves the link until it ends and returns the cause. It calls ready after the
// peer's hello has arrived.
func (l *Link) Run(ready func(*Link)) error {
	defer l.bodies.Whole().Remove(l.holder)
	reader := newFrameReader(receiveRecorder{l})
	defer reader.release()
	if err := l.readHello(reader); err != nil {
		l.cancel(err)
		_ = l.conn.Close()
		return err
	}
	_ = l.conn.SetDeadline(time.Time{})
	stop := context.AfterFunc(l.ctx, func() { _ = l.conn.Close() })
	ready(l)
	err := l.read(reader)
	l.dropAssembly()
	l.downlink.releaseAll(l)
	l.cancel(err)
	stop()
	_ = l.conn.Close()
	l.check.stop()
	l.closeQueue()
	l.failPending()
	return context.Cause(l.ctx)
}

// readHello reads the peer's hello, which must arrive within helloTimeout.
func (l *Link) readHello(reader *frameReader) error {
	kind, size, err := reader.header(maxHelloBytes)
	if err != nil {
		return err
	}
	if kind != KindHello {
		return errors.New("link: the first frame is not a hello; check that the peer is a node of a compatible version")
	}
	body, err := reader.body(size)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(body, &l.Peer)
}

// Do sends a request to the peer's server and waits for the response. If the link is
// lost or ctx ends meanwhile, the response says that it is unknown whether the request
// ran; if the request could not be queued, it says that the request did not run. A large request
// is announced and sent when the peer grants it, if the peer does so.
func (l *Link) Do(ctx context.Context, req *call.Request) call.Response {
	kind := KindRequest
	if req.Account != "" {
		kind = KindAccountRequest
	}
	frame := func(seq uint64) any {
		f := newRequestFrame(seq, time.Now(), req)
		if req.Account != "" {
			return accountRequestFrame{Account: req.Account, Request: f}
		}
		return f
	}
	return l.roundTrip(ctx, kind, frame, urgency{softDeadline: req.ResponseDue(time.Now()), deadline: req.Deadline}, call.Refused(reason.PeerConnect, 0), req)
}

// Outcome requests the outcome of a call that was sent on an earlier link. Unless the peer
// answers, the response says that it is unknown whether the call ran, even if the query was
// not sent.
func (l *Link) Outcome(ctx context.Context, id ledger.CallID, deadline time.Time) call.Response {
	return l.roundTrip(ctx, KindOutcomeRequest, func(seq uint64) any {
		return outcomeRequestFrame{Sequence: seq, CallID: id, DeadlineIn: time.Until(deadline).Microseconds()}
	}, urgency{softDeadline: deadline, deadline: deadline}, linkLostResponse(), nil)
}

// roundTrip sends a frame and waits for its response. If the frame could not be queued, it
// returns unsent. A large frame with a request is announced first. Once ctx ends, the peer gets the frame no longer, or else a cancel frame after
// it: a large frame that is still being sent ends early, since the peer would ignore a cancel
// frame that overtakes it.
func (l *Link) roundTrip(ctx context.Context, kind Kind, frame func(uint64) any, u urgency, unsent call.Response, announced *call.Request) call.Response {
	done := make(chan call.Response, 1)
	l.mu.Lock()
	l.sequence++
	seq := l.sequence
	l.pending[seq] = pendingCall{since: time.Now(), done: done}
	l.mu.Unlock()
	l.check.start()
	u.canceled = ctx.Done()
	encoded, err := encode(kind, frame(seq))
	if err == nil && announced != nil && l.Peer.GrantsTransfers && len(encoded) >= uplink.PartBytes {
		if refused := l.awaitGrant(ctx, seq, len(encoded), announced); refused != nil {
			l.removePending(seq)
			return *refused
		}
		encoded, err = encode(kind, frame(seq)) // its times are relative to the time of sending
	}
	if err == nil {
		err = l.sendFrame(encoded, u)
	}
	if err != nil {
		l.removePending(seq)
		return unsent
	}
	select {
	case res := <-done:
		return res
	case <-ctx.Done():
		l.removePending(seq)
		_ = l.Send(KindCancel, cancelFrame{seq}) // if the link is lost, the peer cancels its work anyway
		return call.Response{Refusal: reason.Canceled, Ran: reason.RanUnknown, ReachedServer: true}
	case <-l.ctx.Done():
		select {
		case res := <-done:
			return res
		default:
			return linkLostResponse()
		}
	}
}

// linkLostResponse is the response to requests that were outstanding when the link was lost.
func linkLostResponse() call.Response {
	return call.Response{Refusal: reason.PeerFailed, Ran: reason.RanUnknown, ReachedServer: true}
}

// Send queues one frame and never blocks. It returns the cause of the link's end if the
// link is down, and ErrSendQueueFull if the queue is full, which ends the link.
func (l *Link) Send(kind Kind, v any) error {
	return l.send(kind, v, urgency{softDeadline: time.Now().Add(controlSoftDeadline)})
}

// send queues one frame. The urgency affects large frames only.
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
	l.metrics.queued(frame)
	if len(frame) >= uplink.PartBytes {
		return l.enqueue(frame, u)
	}
	if !l.queue.addFrame(frame) {
		l.cancel(ErrSendQueueFull)
		return context.Cause(l.ctx)
	}
	l.startWriting()
	return nil
}

// NotifyWritten sends to the channel, without blocking, once the small frames queued so far
// are written to the connection; never if the link ends before.
func (l *Link) NotifyWritten(c chan<- struct{}) { l.queue.notifyWritten(c) }

// Alive reports whether the link is up.
func (l *Link) Alive() bool { return l.ctx.Err() == nil }

func (l *Link) removePending(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, seq)
}

func (l *Link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for seq, p := range l.pending {
		p.done <- linkLostResponse()
		delete(l.pending, seq)
	}
}
