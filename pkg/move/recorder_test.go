package move

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRecorder guards against a second outcome of a move, and against a lost response
// that is treated as a failed write.
func TestRecorder(t *testing.T) {
	done := Outcome{Move: "m1", Result: ResultDone, Decider: "a", DecidedAt: begin, Routes: []RouteEvidence{{Route: "r", New: Counts{Calls: 3}}}}
	back := Outcome{Move: "m1", Result: ResultRolledBack, Reason: ReasonSlow, Decider: "b", DecidedAt: begin}
	tests := []struct {
		name    string
		prepare func(*fakeTable, *Recorder)
		want    Outcome
		err     error
	}{
		{"first", func(*fakeTable, *Recorder) {}, done, nil},
		{"lost the race", func(_ *fakeTable, r *Recorder) { _, _ = r.Write(context.Background(), back) }, back, nil},
		{"platform down", func(f *fakeTable, _ *Recorder) { f.down = true }, Outcome{}, ErrPending},
		{"unusable row", func(f *fakeTable, _ *Recorder) { f.rows["move/m1"] = []byte("x") }, Outcome{}, ErrRecord},
		{"row of another move", func(f *fakeTable, _ *Recorder) {
			f.rows["move/m1"], _ = encoding.Marshal(Outcome{Move: "m2", Result: ResultDone})
		}, Outcome{}, ErrRecord},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newFakeTable(1)
			r := NewRecorder(table, nil)
			tt.prepare(table, r)
			got, err := r.Write(context.Background(), done)
			if !errors.Is(err, tt.err) {
				t.Fatalf("Write returned error %v, want %v", err, tt.err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("Write: %s", diff)
			}
		})
	}
}

// TestRecorderLostResponses guards against a returned outcome that differs from the
// row, whether the write with the lost response was applied at once, later or never.
func TestRecorderLostResponses(t *testing.T) {
	for seed := range uint64(200) {
		table := newFakeTable(seed)
		table.lossRate = 0.7
		r := NewRecorder(table, nil)
		var outcomes []Outcome
		for i := range 20 {
			result := []string{ResultDone, ResultRolledBack}[i%2]
			o, err := r.Write(context.Background(), Outcome{Move: "m1", Result: result, Decider: string(rune('a' + i))})
			if err == nil {
				outcomes = append(outcomes, o)
			} else if !errors.Is(err, ErrPending) {
				t.Fatal(err)
			}
			table.applyDelayed()
		}
		row, found, err := r.Read(context.Background(), "m1")
		if err != nil || !found || len(outcomes) == 0 {
			t.Fatalf("seed %d: row found %v, error %v, %d returned outcomes", seed, found, err, len(outcomes))
		}
		for _, outcome := range outcomes {
			if diff := cmp.Diff(row, outcome); diff != "" {
				t.Fatalf("seed %d: returned outcome differs from the row: %s", seed, diff)
			}
		}
	}
}
