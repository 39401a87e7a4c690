package move

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC)

// testPlan returns the plan of a move with a window of one hour.
func testPlan() Plan {
	return Plan{
		ID: "m1", Service: "floodbook", From: "v1", To: "v2",
		AcceptedAt: begin, FinishBy: begin.Add(time.Hour),
	}
}

// TestShare guards against a schedule that misses the deadline, skips stages or ignores
// a rollback.
func TestShare(t *testing.T) {
	p := testPlan()
	withdrawn := p
	withdrawn.Withdraw = true
	noStart := p
	noStart.AcceptedAt = time.Time{}
	tests := []struct {
		name  string
		plan  Plan
		state State
		at    float64
		want  float64
	}{
		{"before the start", p, State{}, -0.1, 0.01},
		{"start", p, State{}, 0, 0.01},
		{"schedule", p, State{}, 0.31, 0.25},
		{"schedule without state", p, State{}, 0.71, 0.95},
		{"deadline", p, State{}, 1, 1},
		{"state ahead of the schedule", p, State{Stage: 3}, 0.1, 0.50},
		{"state behind the schedule", p, State{Stage: 1}, 0.6, 0.50},
		{"unknown stage", p, State{Stage: 200}, 0.1, 1},
		{"rolled back", p, State{Stage: 3, RolledBack: true}, 0.6, 0},
		{"rolled back after done", p, State{Done: true, RolledBack: true}, 0.95, 0},
		{"done", p, State{Done: true}, 0.91, 1},
		{"withdrawn", withdrawn, State{Stage: 3}, 0.6, 0},
		{"start unknown", noStart, State{}, 0.9, 0.01},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Share(tt.plan, tt.state, p.at(tt.at)); got != tt.want {
				t.Errorf("Share at %g = %g, want %g", tt.at, got, tt.want)
			}
		})
	}
}

// TestShareNeverFalls guards against a share that falls over time as the move state
// grows, without a rollback.
func TestShareNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, m, at, last := testPlan(), State{Move: "m1"}, 0.0, 0.0
		for range 30 {
			at += rapid.Float64Range(0, 0.06).Draw(t, "step")
			m = m.Merge(State{Move: "m1", Stage: rapid.Uint8Range(0, 5).Draw(t, "stage")})
			share := Share(p, m, p.at(at))
			if share < last {
				t.Fatalf("share fell from %g to %g at %g", last, share, at)
			}
			last = share
		}
	})
}
