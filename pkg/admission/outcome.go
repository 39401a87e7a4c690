package admission

import (
	"context"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
)

// headField is the header key under which a recorded outcome holds the encoded response
// headers.
const headField = "Head"

// Outcome returns the outcome of a non-idempotent request after the connection that
// carried it was lost. It waits for a running request to end. A request that never
// arrived is fenced in the ledger, so that it cannot run later.
func (c *Controller) Outcome(ctx context.Context, id ledger.CallID) call.Response {
	report := c.opts.Ledger.Query(ctx, id, true)
	if report.Ran == reason.RanNo {
		return call.Refused(reason.Fenced, 0)
	}
	if report.Outcome == nil || !report.Outcome.HasResponse {
		return outcomeUnknown()
	}
	a := report.Outcome
	return call.Response{Status: a.Status, Ran: reason.RanYes, ReachedServer: true, Head: []byte(a.Header.Get(headField)), Body: a.Body}
}

func outcomeUnknown() call.Response {
	return call.Response{Refusal: reason.OutcomeUnknown, Ran: reason.RanUnknown, ReachedServer: true}
}

func ledgerOutcome(res call.Response) ledger.Outcome {
	if res.Status == 0 || res.Ran == reason.RanNo {
		return ledger.Outcome{Ran: res.Ran}
	}
	return ledger.Outcome{HasResponse: true, Status: res.Status, Header: map[string][]string{headField: {string(res.Head)}}, Body: res.Body}
}
