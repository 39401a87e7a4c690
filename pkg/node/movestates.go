package node

import (
	"context"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/gossip"
	"corianderwood.example/corianderwood/pkg/move"
)

// runMoveStates merges the move states received from peers.
func (n *Node) runMoveStates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case state := <-n.agent.MoveStates():
			n.mergeState(move.State(state))
		}
	}
}

// publishState merges a move state that this node has decided and gossips it to peers.
func (n *Node) publishState(state move.State) {
	if n.mergeState(state) {
		n.agent.MergeMoveState(gossip.MoveState(state))
	}
}

func (n *Node) mergeState(state move.State) bool {
	before := n.splitter.State(state.Move)
	if !n.splitter.MergeState(state) {
		return false
	}
	if state.Stage > before.Stage {
		event.MoveStage.Log("move", state.Move, "stage", state.Stage)
	}
	if state.RolledBack && !before.RolledBack {
		event.MoveRolledBack.Log("move", state.Move, "reason", state.Reason)
	}
	return true
}
