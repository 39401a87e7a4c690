package move

import (
	"fmt"
	"time"
)

// event is one observation of the history of a move.
type event struct {
	at   time.Time
	node string // with its process, so that a restart is another node
	kind eventKind
	// share is what the node sends to the new version, for a shareSeen.
	share float64
	// marked reports whether a take-back mark has reached the node's Shares.
	marked bool
	// settling reports whether the node waits for marks after a restart.
	settling bool
	// finishBy is the deadline in force at the node.
	finishBy time.Time
	stage    uint8
	// result is the outcome that the node knows, or that a write returned.
	result string
}

type eventKind int

const (
	shareSeen  eventKind = iota // a node's share and marks
	answerSeen                  // a write or read of the record returned result
	rowSeen                     // the row held result
	decided                     // a decider decided result; marked before the decision
)

// checkOneOutcome fails if two answers or row values differ.
func checkOneOutcome(history []event) error {
	first := ""
	for _, e := range history {
		if e.kind == shareSeen || e.kind == decided || e.result == "" {
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

// checkObeysRecord fails if a node that knows the outcome serves anything else, or
// if at the end a node doesn't know the recorded one.
func checkObeysRecord(history []event, live []string) error {
	row, last := "", map[string]event{}
	for _, e := range history {
		switch {
		case e.kind == rowSeen && e.result != "":
			row = e.result
		case e.kind == shareSeen:
			last[e.node] = e
			if e.result == ResultDone && e.share != 1 || e.result == ResultRolledBack && e.share != 0 {
				return fmt.Errorf("%s sends %g under outcome %s at %v", e.node, e.share, e.result, e.at)
			}
		}
	}
	if row == "" {
		return fmt.Errorf("no outcome is recorded")
	}
	for _, node := range live {
		if last[node].result != row {
			return fmt.Errorf("%s ends with outcome %q, the record says %s", node, last[node].result, row)
		}
	}
	return nil
}

// checkNoTrafficAfterTakeBack fails if a node sends calls to the new version after
// a take-back reached it, unless the record says done.
func checkNoTrafficAfterTakeBack(history []event) error {
	taken := map[string]bool{}
	for _, e := range history {
		if e.kind != shareSeen {
			continue
		}
		if e.result == ResultRolledBack || e.marked {
			taken[e.node] = true
		}
		if taken[e.node] && e.share > 0 && e.result != ResultDone {
			return fmt.Errorf("%s sends %g at %v after the take-back", e.node, e.share, e.at)
		}
	}
	return nil
}

// checkStageNeverFalls fails if the stage or, without a take-back, the share of a
// process falls.
func checkStageNeverFalls(history []event) error {
	last := map[string]event{}
	for _, e := range history {
		if e.kind != shareSeen {
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
		if e.share < before.share && !(e.share == 0 && (e.marked || e.result == ResultRolledBack)) {
			return fmt.Errorf("share of %s falls from %g to %g at %v", e.node, before.share, e.share, e.at)
		}
	}
	return nil
}

// checkNoDoneAfterTakeBack fails if a decider decides done after a take-back mark
// reached it.
func checkNoDoneAfterTakeBack(history []event) error {
	for _, e := range history {
		if e.kind == decided && e.marked && e.result == ResultDone {
			return fmt.Errorf("%s decides done at %v after the take-back", e.node, e.at)
		}
	}
	return nil
}
