package move

import (
	"errors"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func drawState(t *rapid.T) State {
	return State{
		Move:       "m1",
		Stage:      rapid.Uint8Range(0, 5).Draw(t, "stage"),
		RolledBack: rapid.Bool().Draw(t, "rolled back"),
		Reason:     rapid.SampledFrom([]string{"", ReasonSlow, ReasonFailures}).Draw(t, "reason"),
		Done:       rapid.Bool().Draw(t, "done"),
	}
}

func drawCounts(t *rapid.T) Counts {
	calls := rapid.Uint64Range(0, 50).Draw(t, "calls")
	return Counts{calls, rapid.Uint64Range(0, calls).Draw(t, "failed"), rapid.Uint64Range(0, calls).Draw(t, "slow")}
}

// drawReport draws copies with up to 16 of 40 buckets, so that merges are truncated.
func drawReport(t *rapid.T) Report {
	p := Report{Move: "m1", Instance: "i1", Incarnation: 7}
	starts := rapid.SliceOfNDistinct(rapid.Int64Range(0, 39), 0, maxBuckets, rapid.ID[int64]).Draw(t, "starts")
	slices.Sort(starts)
	for _, start := range starts {
		b := Bucket{Start: start, Stage: uint8(start / 10), Routes: map[string]Pair{}}
		for _, route := range []string{"a", "b"} {
			if rapid.Bool().Draw(t, "route") {
				b.Routes[route] = Pair{Old: drawCounts(t), New: drawCounts(t)}
			}
		}
		p.Buckets = append(p.Buckets, b)
	}
	return p
}

// checkMergeLaws fails if merge depends on order, grouping or repetition.
func checkMergeLaws[T any](t *rapid.T, draw func(*rapid.T) T, merge func(a, b T) T) {
	a, b, c := draw(t), draw(t), draw(t)
	if diff := cmp.Diff(merge(a, b), merge(b, a)); diff != "" {
		t.Fatalf("not commutative: %s", diff)
	}
	if diff := cmp.Diff(merge(merge(a, b), c), merge(a, merge(b, c))); diff != "" {
		t.Fatalf("not associative: %s", diff)
	}
	if diff := cmp.Diff(merge(a, a), merge(merge(a, a), a)); diff != "" {
		t.Fatalf("not idempotent: %s", diff)
	}
	if diff := cmp.Diff(merge(merge(a, b), b), merge(a, b)); diff != "" {
		t.Fatalf("not idempotent: %s", diff)
	}
}

// TestProofMergeLaws guards against move states or reports whose merged value depends
// on the order in which gossip delivers them.
func TestProofMergeLaws(t *testing.T) {
	t.Run("state", rapid.MakeCheck(func(t *rapid.T) { checkMergeLaws(t, drawState, State.Merge) }))
	t.Run("report", rapid.MakeCheck(func(t *rapid.T) { checkMergeLaws(t, drawReport, Report.Merge) }))
}

// TestReportRoundTrip guards against a report that changes when it is encoded and
// decoded.
func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawReport(t)
		data, err := EncodeReport(p)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeReport(data)
		if err != nil {
			t.Fatal(err)
		}
		again, _ := EncodeReport(got)
		if !slices.Equal(data, again) {
			t.Fatalf("report changed from %+v to %+v", p, got)
		}
	})
}

// TestDecodeReportRejects guards against accepting a malformed report, which would
// corrupt the decider's counts.
func TestDecodeReportRejects(t *testing.T) {
	valid := func() Report {
		return Report{Move: "m1", Instance: "i1", Buckets: []Bucket{{Start: 1}, {Start: 2}}}
	}
	tests := map[string]func(*Report){
		"no move":         func(p *Report) { p.Move = "" },
		"order":           func(p *Report) { p.Buckets[0].Start = 3 },
		"twice":           func(p *Report) { p.Buckets[0].Start = 2 },
		"stage":           func(p *Report) { p.Buckets[0].Stage = 9 },
		"impossible":      func(p *Report) { p.Buckets[0].Routes = map[string]Pair{"a": {New: Counts{1, 2, 0}}} },
		"too many":        func(p *Report) { p.Buckets = make([]Bucket, maxBuckets+1) },
		"long route name": func(p *Report) { p.Buckets[0].Routes = map[string]Pair{string(make([]byte, 300)): {}} },
	}
	for name, corrupt := range tests {
		t.Run(name, func(t *testing.T) {
			p := valid()
			corrupt(&p)
			data, err := EncodeReport(p)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodeReport(data); !errors.Is(err, ErrReport) {
				t.Errorf("DecodeReport returned %v, want ErrReport", err)
			}
		})
	}
}
