package link

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/quota"
	"corianderwood.example/corianderwood/pkg/reason"
)

// receiveRecorder reads from the link's connection and records the time of each read.
// Complete frames would not be enough as a sign of life: a large frame on a slow link
// takes seconds to arrive.
type receiveRecorder struct{ link *Link }

func (h receiveRecorder) Read(p []byte) (int, error) {
	n, err := h.link.conn.Read(p)
	if n > 0 {
		h.link.lastReceived.Store(int64(time.Since(h.link.opened)))
		h.link.silent.Store(false)
	}
	return n, err
}

func (l *Link) read(reader *frameReader) error {
	for {
		kind, body, err := l.readFrame(reader)
		if err != nil {
			return err
		}
		err = l.dispatchContained(kind, body)
		var panicked *contain.PanicError
		if errors.Is(err, errTransferInvalid) || errors.As(err, &panicked) {
			return err
		}
		if err != nil {
			l.handler.Malformed(l, err)
		}
	}
}

// readFrame waits for the next frame. Once its header has arrived, its body must arrive
// within frameTimeout. The body is valid until the next call.
func (l *Link) readFrame(reader *frameReader) (Kind, []byte, error) {
	kind, size, err := reader.header(maxUndividedBytes)
	if err != nil {
		return 0, nil, err
	}
	if reader.reader.Buffered() < size {
		_ = l.conn.SetReadDeadline(time.Now().Add(frameTimeout))
		defer func() { _ = l.conn.SetReadDeadline(time.Time{}) }()
	}
	body, err := reader.body(size)
	return kind, body, err
}

// dispatchContained is dispatch; a panic ends the link with an error.
func (l *Link) dispatchContained(kind Kind, body []byte) (err error) {
	defer contain.Recover(contain.Link, func(cause error) { err = cause })
	return l.dispatch(kind, body)
}

func (l *Link) dispatch(kind Kind, body []byte) error {
	switch kind {
	case KindPart:
		whole, content, err := l.reassemble(body)
		if err != nil || content == nil {
			return err
		}
		return l.dispatch(whole, content)
	case KindResponse:
		return decode(body, l.handleResponse)
	case KindRequest:
		return decode(body, func(f requestFrame) { l.serveRequest(f, "") })
	case KindTransferRequest:
		return decode(body, l.announceTransfer)
	case KindTransferGrant:
		return decode(body, l.handleGrant)
	case KindAccountRequest:
		return decode(body, func(f accountRequestFrame) { l.serveRequest(f.Request, f.Account) })
	case KindCancel:
		return decode(body, func(f cancelFrame) { l.cancelServing(f.Sequence) })
	case KindOutcomeRequest:
		return decode(body, l.serveOutcome)
	case KindServerState:
		return decode(body, func(s ServerState) { l.handler.ServerState(l, s) })
	case KindPreviousServer:
		return decode(body, func(r PreviousServer) { l.handler.PreviousServer(l, r) })
	case KindVersions:
		return decode(body, func(v Versions) { l.handler.Versions(l, v) })
	case KindRowsRequest:
		return decode(body, func(w RowsRequest) { l.handler.RowsRequest(l, w) })
	case KindRows:
		r, err := decodeRows(body)
		if err == nil {
			l.handler.Rows(l, r)
		}
		return err
	case KindEvidence:
		return decode(body, func(e Evidence) { l.handler.Evidence(l, e) })
	case KindFreshnessRequest:
		return decode(body, func(r FreshnessRequest) { l.handler.FreshnessRequest(l, r) })
	case KindFreshness:
		return decode(body, func(f Freshness) { l.handler.Freshness(l, f) })
	case KindQuotaReport:
		return decode(body, func(r quota.Report) { l.handler.QuotaReport(l, r) })
	case KindQuotaGrant:
		return decode(body, func(g quota.Grant) { l.handler.QuotaGrant(l, g) })
	case KindTableRequest, KindTableVersion:
		return l.handleTable(kind, body)
	case KindQuotaShareReport:
		return decode(body, func(r quota.ShareReport) { l.handler.QuotaShareReport(l, r) })
	case KindSharesRequest:
		return decode(body, func(r SharesRequest) { l.handler.SharesRequest(l, r) })
	case KindShares:
		return decode(body, func(s Shares) { l.handler.Shares(l, s) })
	case KindPing:
		return l.Send(KindPong, struct{}{})
	}
	return nil // a pong, or a kind that only later versions know
}

func decode[T any](body []byte, take func(T)) error {
	var v T
	if err := cbor.Unmarshal(body, &v); err != nil {
		return err
	}
	take(v)
	return nil
}

func (l *Link) handleResponse(f responseFrame) {
	l.mu.Lock()
	p, ok := l.pending[f.Sequence]
	delete(l.pending, f.Sequence)
	l.mu.Unlock()
	if ok {
		p.done <- f.response()
	}
}

func (l *Link) serveRequest(f requestFrame, account string) {
	l.downlink.release(l, f.Sequence, true)
	req := f.request(time.Now())
	req.Account = account
	l.runForPeer(f.Sequence, req.ResponseDue(time.Now()), req.Deadline, func(ctx context.Context) call.Response { return l.handler.Do(ctx, req) })
}

func (l *Link) serveOutcome(f outcomeRequestFrame) {
	deadline := time.Now().Add(time.Duration(f.DeadlineIn) * time.Microsecond)
	l.runForPeer(f.Sequence, deadline, deadline, func(ctx context.Context) call.Response { return l.handler.Outcome(ctx, f.CallID) })
}

// runForPeer runs work for the peer in a new goroutine until its deadline, a cancel frame or
// the end of the link, and sends the response, which is to be sent by softDeadline.
func (l *Link) runForPeer(sequence uint64, softDeadline, deadline time.Time, work func(context.Context) call.Response) {
	ctx, cancel := context.WithDeadline(l.ctx, deadline.Add(responseMargin))
	l.mu.Lock()
	l.serving[sequence] = cancel
	l.mu.Unlock()
	go func() {
		res := runContained(ctx, work)
		l.endServing(sequence)
		u := urgency{softDeadline: softDeadline, deadline: deadline, response: sequence}
		_ = l.send(KindResponse, newResponseFrame(sequence, res), u) // if the link is lost, the call fails at the peer
	}()
}

// runContained runs work; after a panic it is unknown whether the request ran.
func runContained(ctx context.Context, work func(context.Context) call.Response) (res call.Response) {
	defer contain.Recover(contain.PeerRequest, func(error) {
		res = call.Response{Refusal: reason.OutcomeUnknown, Ran: reason.RanUnknown, ReachedServer: true}
	})
	return work(ctx)
}

// cancelServing cancels the announcement of a request or the work for a request whose caller no longer waits, and the
// sending of its response.
func (l *Link) cancelServing(sequence uint64) {
	l.downlink.release(l, sequence, false)
	l.endServing(sequence)
	l.dropResponse(sequence)
}

func (l *Link) endServing(sequence uint64) {
	l.mu.Lock()
	cancel, ok := l.serving[sequence]
	delete(l.serving, sequence)
	l.mu.Unlock()
	if ok {
		cancel()
	}
}
