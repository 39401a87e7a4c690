package node

import (
	"context"
	"errors"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/move"
)

// queueOutcome hands an outcome to runRecord. The decider offers it again each
// second until the record is known, so a full queue loses nothing.
func (n *Node) queueOutcome(outcome move.Outcome) {
	select {
	case n.outcomes <- outcome:
	default:
	}
}

// runRecord writes outcomes to the platform.
func (n *Node) runRecord(ctx context.Context) error {
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

func (n *Node) record(ctx context.Context, outcome move.Outcome, pending map[string]bool) {
	if _, known := n.shares.Outcome(outcome.Move); known {
		return
	}
	if outcome.Result == move.ResultDone && n.shares.State(outcome.Move).RolledBack {
		// The outcome was queued before another decider took the move back.
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
	if _, known := n.shares.Outcome(outcome.Move); known {
		return
	}
	n.shares.SetOutcome(outcome)
	event.MoveOutcome.Log("move", outcome.Move, "result", outcome.Result, "reason", outcome.Reason, "decider", outcome.Decider)
	n.raiseMark(outcome.State())
}

// runOutcomes reads the outcome rows of moves that may be decided. The row wins
// over marks, so every node has to see it.
func (n *Node) runOutcomes(ctx context.Context) error {
	asked := map[string]bool{}
	for sleep(ctx, jitter(outcomeInterval)) {
		current := n.store.Current()
		if current == nil {
			continue
		}
		now := time.Now()
		for _, plan := range plansOf(current) {
			if n.mayBeDecided(now, plan, asked) {
				n.readOutcome(ctx, plan.ID)
			}
		}
	}
	return nil
}

// mayBeDecided reports whether the outcome row is worth a read: a mark says so, the
// deadline is near, or this process has not asked yet and may have lost the marks.
func (n *Node) mayBeDecided(now time.Time, plan move.Plan, asked map[string]bool) bool {
	if _, known := n.shares.Outcome(plan.ID); known {
		return false
	}
	first := !asked[plan.ID]
	asked[plan.ID] = true
	mark := n.shares.State(plan.ID)
	return first || mark.Done || mark.RolledBack || plan.Withdraw || now.After(plan.FinishBy)
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

// moveResult tells the acceptance of edits how a move ended.
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
