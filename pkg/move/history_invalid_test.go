package move

import "testing"

// TestCheckersRejectInvalidHistories guards against checkers that accept a history
// which breaks their rule.
func TestCheckersRejectInvalidHistories(t *testing.T) {
	share := func(node string, share float64, stage uint8, rolledBack bool, result string) event {
		return event{at: begin, node: node, kind: shareObserved, share: share, stage: stage, rolledBack: rolledBack, result: result}
	}
	row := event{at: begin, kind: rowObserved, result: ResultRolledBack}
	tests := []struct {
		name    string
		check   func([]event) error
		history []event
	}{
		{"two outcomes", checkOneOutcome, []event{
			{kind: outcomeReturned, result: ResultDone}, {kind: outcomeReturned, result: ResultRolledBack},
		}},
		{"response differs from the row", checkOneOutcome, []event{{kind: outcomeReturned, result: ResultDone}, row}},
		{"node ignores the record", followsRecord("a"), []event{row, share("a", 0.5, 3, true, ResultRolledBack)}},
		{"node ends with another outcome", followsRecord("a"), []event{row, share("a", 1, 3, false, ResultDone)}},
		{"node never learns", followsRecord("a"), []event{row, share("a", 0, 3, true, "")}},
		{"no record", followsRecord(), []event{share("a", 0, 3, true, "")}},
		{"traffic after the rollback state", checkNoTrafficAfterRollback, []event{share("a", 0, 1, true, ""), share("a", 0.05, 1, true, "")}},
		{"traffic with a lost rollback state", checkNoTrafficAfterRollback, []event{share("a", 0, 1, true, ""), share("a", 0.05, 1, false, "")}},
		{"traffic after the record", checkNoTrafficAfterRollback, []event{share("a", 0, 1, false, ResultRolledBack), share("a", 1, 1, false, "")}},
		{"done after a rollback", checkNoDoneAfterRollback, []event{{kind: decided, result: ResultDone, rolledBack: true}}},
		{"stage falls", checkStageNeverFalls, []event{share("a", 0.5, 3, false, ""), share("a", 0.5, 2, false, "")}},
		{"share falls", checkStageNeverFalls, []event{share("a", 0.5, 3, false, ""), share("a", 0.25, 3, false, "")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := tt.check(tt.history); err == nil {
				t.Error("the checker accepts the history")
			}
		})
	}
}

func followsRecord(live ...string) func([]event) error {
	return func(history []event) error { return checkFollowsRecord(history, live) }
}
