package move

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRecorder guards against a second outcome and against a lost answer that is
// taken for a failed write.
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

// TestRecorderLostAnswers guards against an answer that differs from the row,
// whether a lost write was applied at once, late or never.
func TestRecorderLostAnswers(t *testing.T) {
	for seed := range uint64(200) {
		table := newFakeTable(seed)
		table.lose = 0.7
		r := NewRecorder(table, nil)
		var answers []Outcome
		for i := range 20 {
			result := []string{ResultDone, ResultRolledBack}[i%2]
			o, err := r.Write(context.Background(), Outcome{Move: "m1", Result: result, Decider: string(rune('a' + i))})
			if err == nil {
				answers = append(answers, o)
			} else if !errors.Is(err, ErrPending) {
				t.Fatal(err)
			}
			table.applyLate()
		}
		row, found, err := r.Read(context.Background(), "m1")
		if err != nil || !found || len(answers) == 0 {
			t.Fatalf("seed %d: row found %v, error %v, %d answers", seed, found, err, len(answers))
		}
		for _, answer := range answers {
			if diff := cmp.Diff(row, answer); diff != "" {
				t.Fatalf("seed %d: answer differs from the row: %s", seed, diff)
			}
		}
	}
}
