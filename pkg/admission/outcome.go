package admission

import (
	"context"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
)

// headField carries the encoded response headers in a kept answer.
const headField = "Head"

// Outcome tells what became of a request that must not run twice, after the
// connection that carried it was lost. A request that never arrived is barred:
// it will not run. For one that runs it waits for the end.
func (g *Controller) Outcome(ctx context.Context, id ledger.CallID) call.Response {
	report := g.opts.Ledger.Query(ctx, id, true)
	if report.Ran == reason.RanNo {
		return call.Refused(reason.Fenced, 0)
	}
	if report.Outcome == nil || !report.Outcome.HasResponse {
		return call.Response{Refusal: reason.OutcomeUnknown, Ran: reason.RanUnknown, ReachedServer: true}
	}
	a := report.Outcome
	return call.Response{Status: a.Status, Ran: reason.RanYes, ReachedServer: true, Head: []byte(a.Header.Get(headField)), Body: a.Body}
}

func ledgerAnswer(res call.Response) ledger.Outcome {
	if res.Status == 0 || res.Ran == reason.RanNo {
		return ledger.Outcome{Ran: res.Ran}
	}
	return ledger.Outcome{HasResponse: true, Status: res.Status, Header: map[string][]string{headField: {string(res.Head)}}, Body: res.Body}
}
