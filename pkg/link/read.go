package link

import (
	"bufio"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/call"
)

// hearing reads from the link's connection and records that the peer sends. A
// large frame on a narrow link arrives over seconds.
type hearing struct{ link *Link }

func (h hearing) Read(p []byte) (int, error) {
	n, err := h.link.conn.Read(p)
	if n > 0 {
		h.link.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

func (l *Link) read(reader *bufio.Reader) error {
	for {
		kind, body, err := readFrame(reader)
		if err != nil {
			return err
		}
		if err := l.dispatch(kind, body); err != nil {
			l.handler.Malformed(l, err)
		}
	}
}

func (l *Link) dispatch(kind Kind, body []byte) error {
	switch kind {
	case KindPart:
		if whole, content, ok := l.collect(body); ok {
			return l.dispatch(whole, content)
		}
	case KindResponse:
		return decode(body, l.respond)
	case KindRequest:
		return decode(body, l.serve)
	case KindCancel:
		return decode(body, func(f cancelFrame) { l.cancelServing(f.Sequence) })
	case KindOutcomeWanted:
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
	case KindPing:
		return l.Send(KindPong, struct{}{})
	}
	return nil // a pong, or a kind of a later version
}

func decode[T any](body []byte, take func(T)) error {
	var v T
	if err := cbor.Unmarshal(body, &v); err != nil {
		return err
	}
	take(v)
	return nil
}

func (l *Link) respond(f responseFrame) {
	l.mu.Lock()
	p, ok := l.pending[f.Sequence]
	delete(l.pending, f.Sequence)
	l.mu.Unlock()
	if ok {
		p.done <- f.response()
	}
}

func (l *Link) serve(f requestFrame) {
	req := f.request(time.Now())
	l.start(f.Sequence, req.SoftDeadline, req.Deadline, func(ctx context.Context) call.Response { return l.handler.Do(ctx, req) })
}

func (l *Link) serveOutcome(f outcomeFrame) {
	deadline := time.Now().Add(time.Duration(f.Left) * time.Microsecond)
	l.start(f.Sequence, deadline, deadline, func(ctx context.Context) call.Response { return l.handler.Outcome(ctx, f.Call) })
}

// start runs work for the peer until its deadline, a cancel or the link's end. The
// response should be sent by the target.
func (l *Link) start(sequence uint64, target, deadline time.Time, work func(context.Context) call.Response) {
	ctx, cancel := context.WithDeadline(l.ctx, deadline.Add(answerMargin))
	l.mu.Lock()
	l.serving[sequence] = cancel
	l.mu.Unlock()
	go func() {
		res := work(ctx)
		l.endServing(sequence)
		urgency := urgency{by: target, until: deadline, response: sequence}
		_ = l.send(KindResponse, newResponseFrame(sequence, res), urgency) // a lost link fails the call at the peer
	}()
}

// cancelServing ends work for a caller that has left, and what is left to send.
func (l *Link) cancelServing(sequence uint64) {
	l.endServing(sequence)
	l.drop(sequence)
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
