package move

import (
	"fmt"
	"time"
)

// event is one observation in the history of a move.
type event struct {
	at   time.Time
	node string // includes the process number, so that a restarted node counts as another one
	kind eventKind
	// share is the fraction of calls that the node routes to the new version; set for
	// shareObserved.
	share float64
	// rolledBack reports whether the rollback has reached the node's TrafficSplitter as
	// move state.
	rolledBack bool
	// awaitingState reports whether the node waits for the move state after a restart.
	awaitingState bool
	// finishBy is the deadline in force at the node.
	finishBy time.Time
	stage    uint8
	// result is the outcome that the node knows, or that a write returned.
	result string
}

type eventKind int

const (
	shareObserved   eventKind = iota // a node's share and move state
	outcomeReturned                  // a write or read of the record returned result
	rowObserved                      // the row held result
	decided                          // a decider decided result; rolledBack is as of before the decision
)

// checkOneOutcome fails if two returned or stored outcomes differ.
func checkOneOutcome(history []event) error {
	first := ""
	for _, e := range history {
		if e.kind == shareObserved || e.kind == decided || e.result == "" {
			continue
		}
		if first == "" {
			first = e.result
		}
		if e.result != first {
			return fmt.Errorf("outcome %s at %v after %s", e.result, e.at, first)
		}
	}
	return nil
}

// checkFollowsRecord fails if a node's share contradicts the outcome that it knows, or
// if a live node does not know the recorded outcome at the end.
func checkFollowsRecord(history []event, live []string) error {
	row, last := "", map[string]event{}
	for _, e := range history {
		switch {
		case e.kind == rowObserved && e.result != "":
			row = e.result
		case e.kind == shareObserved:
			last[e.node] = e
			if e.result == ResultDone && e.share != 1 || e.result == ResultRolledBack && e.share != 0 {
				return fmt.Errorf("%s routes a share of %g under outcome %s at %v", e.node, e.share, e.result, e.at)
			}
		}
	}
	if row == "" {
		return fmt.Errorf("no outcome is recorded")
	}
	for _, node := range live {
		if last[node].result != row {
			return fmt.Errorf("%s ends with outcome %q, but the record is %s", node, last[node].result, row)
		}
	}
	return nil
}

// checkNoTrafficAfterRollback fails if a node routes calls to the new version after a
// rollback has reached it, unless the recorded outcome is done.
func checkNoTrafficAfterRollback(history []event) error {
	rolledBack := map[string]bool{}
	for _, e := range history {
		if e.kind != shareObserved {
			continue
		}
		if e.result == ResultRolledBack || e.rolledBack {
			rolledBack[e.node] = true
		}
		if rolledBack[e.node] && e.share > 0 && e.result != ResultDone {
			return fmt.Errorf("%s routes a share of %g at %v after the rollback", e.node, e.share, e.at)
		}
	}
	return nil
}

// checkStageNeverFalls fails if the stage of a process falls, or if its share falls
// without a rollback.
func checkStageNeverFalls(history []event) error {
	last := map[string]event{}
	for _, e := range history {
		if e.kind != shareObserved {
			continue
		}
		before, known := last[e.node]
		last[e.node] = e
		if !known {
			continue
		}
		if e.stage < before.stage {
			return fmt.Errorf("stage of %s falls from %d to %d at %v", e.node, before.stage, e.stage, e.at)
		}
		if e.share < before.share && !(e.share == 0 && (e.rolledBack || e.result == ResultRolledBack)) {
			return fmt.Errorf("share of %s falls from %g to %g at %v", e.node, before.share, e.share, e.at)
		}
	}
	return nil
}

// checkNoDoneAfterRollback fails if a decider decides done after a rollback has reached
// it.
func checkNoDoneAfterRollback(history []event) error {
	for _, e := range history {
		if e.kind == decided && e.rolledBack && e.result == ResultDone {
			return fmt.Errorf("%s decides done at %v after the rollback", e.node, e.at)
		}
	}
	return nil
}
