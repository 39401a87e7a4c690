package link

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/downlink"
	"corianderwood.example/corianderwood/pkg/reason"
)

// awaitGrant announces a large request and returns nil once the peer grants it, or else the
// response to the request, which has not been sent.
func (l *Link) awaitGrant(ctx context.Context, sequence uint64, size int, req *call.Request) *call.Response {
	granted := make(chan transferGrantFrame, 1)
	l.mu.Lock()
	if p, ok := l.pending[sequence]; ok {
		p.granted = granted
		l.pending[sequence] = p
	}
	l.mu.Unlock()
	refuse := func(why reason.Refusal, after time.Duration) *call.Response {
		res := call.Refused(why, after)
		return &res
	}
	now := time.Now()
	if err := l.Send(KindTransferRequest, transferRequestFrame{
		Sequence: sequence, Bytes: uint64(size), Route: req.Route,
		SoftDeadlineIn: req.ResponseDue(now).Sub(now).Microseconds(), DeadlineIn: req.Deadline.Sub(now).Microseconds(),
	}); err != nil {
		return refuse(reason.PeerConnect, 0)
	}
	select {
	case g := <-granted:
		if g.Granted {
			return nil
		}
		return refuse(reason.DownlinkFull, max(time.Duration(g.RetryAfter)*time.Microsecond, 0))
	case <-ctx.Done():
		_ = l.Send(KindCancel, cancelFrame{sequence}) // the end of the link cancels the announcement as well
		return refuse(reason.Canceled, 0)
	case <-l.ctx.Done():
		return refuse(reason.PeerConnect, 0)
	}
}

// handleGrant passes the peer's answer on to the request that was announced.
func (l *Link) handleGrant(g transferGrantFrame) {
	l.mu.Lock()
	p := l.pending[g.Sequence]
	l.mu.Unlock()
	select {
	case p.granted <- g:
	default: // the caller no longer waits, or the peer has answered twice
	}
}

// announceTransfer adds a request that the peer announces. Times and sizes beyond what a node sends
// are reduced: the sums of a Downlink must not overflow.
func (l *Link) announceTransfer(f transferRequestFrame) {
	now := time.Now()
	softDeadlineIn := fromMicroseconds(min(f.SoftDeadlineIn, f.DeadlineIn))
	t := &downlink.Transfer{
		Bytes: int(min(f.Bytes, maxFrameBytes)), SoftDeadline: now.Add(softDeadlineIn),
		ServiceTime: l.handler.ServiceTime(f.Route, softDeadlineIn),
	}
	if !l.downlink.limited() { // the peer has announced the request without being told to
		_ = l.Send(KindTransferGrant, transferGrantFrame{Sequence: f.Sequence, Granted: true})
		return
	}
	l.downlink.announce(now, transferKey{l, f.Sequence}, t)
}

// fromMicroseconds returns a received duration, reduced to maxAnnouncedTime.
func fromMicroseconds(us int64) time.Duration {
	limit := maxAnnouncedTime.Microseconds()
	return time.Duration(min(max(us, -limit), limit)) * time.Microsecond
}
