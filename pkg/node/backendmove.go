package node

import (
	"context"

	"corianderwood.example/corianderwood/pkg/move"
	"corianderwood.example/corianderwood/pkg/operator"
)

// Move returns the record of one move. The outcome is read from the platform, so that
// moves that are no longer part of any section are found as well.
func (b backend) Move(ctx context.Context, id string) (operator.MoveRecord, error) {
	record := operator.MoveRecord{Summary: operator.MoveSummary{ID: id}}
	running := false
	for _, summary := range b.Moves() {
		if summary.ID == id {
			record.Summary, running = summary, true
		}
	}
	outcome, found, err := b.outcome(ctx, id)
	if err != nil && !running {
		return record, problemOf(err)
	}
	if !found && !running {
		return record, &operator.Problem{Kind: operator.KindNotFound, Message: "there is no move with id " + id,
			Remedy: "list the moves with corianderctl moves list"}
	}
	if found {
		record.Summary.State, record.Summary.Reason = stateOf(outcome), outcome.Reason
		record.Decider, record.DecidedAt = outcome.Decider, outcome.DecidedAt
		record.Routes = routesOf(outcome)
	}
	return record, nil
}

// outcome returns the recorded outcome from memory or, if it is not cached there, from
// the platform.
func (b backend) outcome(ctx context.Context, id string) (move.Outcome, bool, error) {
	if outcome, ok := b.node.splitter.Outcome(id); ok {
		return outcome, true, nil
	}
	outcome, found, err := b.node.recorder.Read(ctx, id)
	b.node.platform.observe(err)
	if err == nil && found {
		b.node.setOutcome(outcome)
	}
	return outcome, found, err
}

func stateOf(o move.Outcome) string {
	if o.Result == move.ResultDone {
		return operator.MoveDone
	}
	return operator.MoveRolledBack
}

func routesOf(o move.Outcome) []operator.RouteEvidence {
	routes := make([]operator.RouteEvidence, 0, len(o.Routes))
	for _, r := range o.Routes {
		routes = append(routes, operator.RouteEvidence{
			Route:    r.Route,
			OldCalls: r.Old.Calls, OldFailed: r.Old.Failed, OldSlow: r.Old.Slow,
			NewCalls: r.New.Calls, NewFailed: r.New.Failed, NewSlow: r.New.Slow,
		})
	}
	return routes
}
