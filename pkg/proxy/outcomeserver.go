package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
)

// serveOutcome responds to an outcome query. For another incarnation the outcome is
// reported as unknown, because its calls are usually in the ledger of a process that no
// longer exists.
func (s *PeerServer) serveOutcome(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxHeaderBytes))
	var q outcomeQuery
	if err == nil {
		err = cbor.Unmarshal(raw, &q)
	}
	if err != nil {
		s.refuse(w, refuse(reason.BadRequest, reason.RanUnknown, "the outcome query can't be read: %v", err))
		return
	}
	reply := outcomeReply{Report: ledger.Report{Ran: reason.RanUnknown}}
	if q.Target == *s.target.Load() {
		reply = s.outcome(r.Context(), q)
	}
	body, err := cbor.Marshal(reply)
	if err != nil {
		s.refuse(w, refuse(reason.BadRequest, reason.RanUnknown, "the outcome can't be encoded: %v", err))
		return
	}
	setHeader(w.Header(), "Content-Type", "application/cbor")
	_, _ = w.Write(body)
}

func (s *PeerServer) outcome(ctx context.Context, q outcomeQuery) outcomeReply {
	call := s.running.get(q.ID)
	var reply outcomeReply
	if call != nil {
		reply.Progress = call.progress()
	}
	if q.Probe {
		reply.Report.Ran = reason.RanUnknown
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(q.WaitMS)*time.Millisecond, MaxCallTimeout))
	defer cancel()
	if q.Cancel {
		reply.Report = s.opts.Ledger.Query(canceledContext, q.ID, q.Fence)
		if call != nil {
			call.stop()
		}
		return reply
	}
	if q.Fence && call != nil && call.bodyStalled() {
		call.stop()
	}
	reply.Report = s.opts.Ledger.Query(ctx, q.ID, q.Fence)
	return reply
}

// canceledContext makes a ledger query return without waiting for a running call.
var canceledContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()
