package node

import (
	"context"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/gossip"
	"corianderwood.example/corianderwood/pkg/move"
)

// runMarks merges the marks that arrive from peers.
func (n *Node) runMarks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case mark := <-n.agent.MoveStates():
			n.mergeMark(move.State(mark))
		}
	}
}

// raiseMark merges a mark that this node decided and spreads it.
func (n *Node) raiseMark(mark move.State) {
	if n.mergeMark(mark) {
		n.agent.MergeMoveState(gossip.MoveState(mark))
	}
}

func (n *Node) mergeMark(mark move.State) bool {
	before := n.shares.State(mark.Move)
	if !n.shares.MergeState(mark) {
		return false
	}
	if mark.Stage > before.Stage {
		event.MoveStage.Log("move", mark.Move, "stage", mark.Stage)
	}
	if mark.RolledBack && !before.RolledBack {
		event.MoveRolledBack.Log("move", mark.Move, "reason", mark.Reason)
	}
	return true
}
