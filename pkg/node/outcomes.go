package node

import (
	"context"
	"errors"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/move"
)

// queueOutcome passes an outcome to runOutcomeWriter. It drops the outcome if the queue is
// full, because the decider submits it again every decideInterval until the record is
// known.
func (n *Node) queueOutcome(outcome move.Outcome) {
	select {
	case n.outcomes <- outcome:
	default:
	}
}

// runOutcomeWriter writes queued outcomes to the platform until ctx ends.
func (n *Node) runOutcomeWriter(ctx context.Context) error {
	pending := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case outcome := <-n.outcomes:
			n.record(ctx, outcome, pending)
		}
	}
}

// record writes an outcome unless a record is known or the outcome is outdated. pending
// holds the moves whose last write failed, so that only the first failure is logged.
func (n *Node) record(ctx context.Context, outcome move.Outcome, pending map[string]bool) {
	if _, known := n.splitter.Outcome(outcome.Move); known {
		return
	}
	if outcome.Result == move.ResultDone && n.splitter.State(outcome.Move).RolledBack {
		// The outcome was queued before another decider rolled the move back.
		return
	}
	limited, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	recorded, err := n.recorder.Write(limited, outcome)
	n.platform.observe(err)
	if err != nil {
		if !pending[outcome.Move] {
			event.MoveOutcomePending.LogError(err, "move", outcome.Move, "result", outcome.Result)
			pending[outcome.Move] = true
		}
		return
	}
	delete(pending, outcome.Move)
	n.setOutcome(recorded)
}

func (n *Node) setOutcome(outcome move.Outcome) {
	if _, known := n.splitter.Outcome(outcome.Move); known {
		return
	}
	n.splitter.SetOutcome(outcome)
	event.MoveOutcome.Log("move", outcome.Move, "result", outcome.Result, "reason", outcome.Reason, "decider", outcome.Decider)
	n.publishState(outcome.State())
}

// runOutcomeReader periodically reads the outcome rows of moves that may be decided. The
// row takes precedence over gossiped move states, so every node has to read it.
func (n *Node) runOutcomeReader(ctx context.Context) error {
	checked := map[string]bool{}
	for sleep(ctx, jitter(outcomeInterval)) {
		current := n.store.Current()
		if current == nil {
			continue
		}
		now := time.Now()
		for _, plan := range plansOf(current) {
			if n.mayBeDecided(now, plan, checked) {
				n.readOutcome(ctx, plan.ID)
			}
		}
	}
	return nil
}

// mayBeDecided reports whether the outcome row of a move has to be read: the move state
// shows a decision, the move is withdrawn, its deadline has passed, or this process has
// not read the row yet and may have missed the move state.
func (n *Node) mayBeDecided(now time.Time, plan move.Plan, checked map[string]bool) bool {
	if _, known := n.splitter.Outcome(plan.ID); known {
		return false
	}
	first := !checked[plan.ID]
	checked[plan.ID] = true
	state := n.splitter.State(plan.ID)
	return first || state.Done || state.RolledBack || plan.Withdraw || now.After(plan.FinishBy)
}

func (n *Node) readOutcome(ctx context.Context, id string) {
	limited, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	outcome, found, err := n.recorder.Read(limited, id)
	n.platform.observe(err)
	if err == nil && found {
		n.setOutcome(outcome)
	}
}

// moveResult returns the recorded result of a move. The acceptor uses it to check edits.
func (n *Node) moveResult(ctx context.Context, id string) (config.MoveResult, bool, error) {
	outcome, found, err := n.recorder.Read(ctx, id)
	if err != nil || !found {
		return "", false, err
	}
	switch outcome.Result {
	case move.ResultDone:
		return config.MoveDone, true, nil
	case move.ResultRolledBack:
		return config.MoveRolledBack, true, nil
	default:
		return "", false, errors.New("node: the outcome record of move " + id + " has an unknown result; repair the row move/" + id)
	}
}
