package move

import "testing"

// TestCheckersFindBrokenHistories guards against checkers that accept anything.
func TestCheckersFindBrokenHistories(t *testing.T) {
	share := func(node string, share float64, stage uint8, marked bool, result string) event {
		return event{at: begin, node: node, kind: shareSeen, share: share, stage: stage, marked: marked, result: result}
	}
	row := event{at: begin, kind: rowSeen, result: ResultRolledBack}
	tests := []struct {
		name    string
		check   func([]event) error
		history []event
	}{
		{"two outcomes", checkOneOutcome, []event{
			{kind: answerSeen, result: ResultDone}, {kind: answerSeen, result: ResultRolledBack},
		}},
		{"answer differs from the row", checkOneOutcome, []event{{kind: answerSeen, result: ResultDone}, row}},
		{"node disobeys", obeys("a"), []event{row, share("a", 0.5, 3, true, ResultRolledBack)}},
		{"node ends with another outcome", obeys("a"), []event{row, share("a", 1, 3, false, ResultDone)}},
		{"node never learns", obeys("a"), []event{row, share("a", 0, 3, true, "")}},
		{"no record", obeys(), []event{share("a", 0, 3, true, "")}},
		{"traffic after the mark", checkNoTrafficAfterTakeBack, []event{share("a", 0, 1, true, ""), share("a", 0.05, 1, true, "")}},
		{"traffic with a lost mark", checkNoTrafficAfterTakeBack, []event{share("a", 0, 1, true, ""), share("a", 0.05, 1, false, "")}},
		{"traffic after the record", checkNoTrafficAfterTakeBack, []event{share("a", 0, 1, false, ResultRolledBack), share("a", 1, 1, false, "")}},
		{"done after a take-back", checkNoDoneAfterTakeBack, []event{{kind: decided, result: ResultDone, marked: true}}},
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

func obeys(live ...string) func([]event) error {
	return func(history []event) error { return checkObeysRecord(history, live) }
}
