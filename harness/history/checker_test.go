package history

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"corianderwood.example/corianderwood/pkg/accept"
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/platform"
)

// faultyTable is a platform.Table that violates one guarantee of the interface in some
// calls.
type faultyTable struct {
	platform.Table
	mu       sync.Mutex // guards rnd and previous
	rnd      *rand.Rand
	previous platform.Row
	// transact and get replace the methods Transact and Get if not nil.
	transact func(b *faultyTable, ctx context.Context, writes []platform.Write) error
	get      func(b *faultyTable, ctx context.Context, key string) (platform.Row, bool, error)
}

// oneIn returns true with a probability of 1/n.
func (b *faultyTable) oneIn(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rnd.IntN(n) == 0
}

func (b *faultyTable) Transact(ctx context.Context, writes []platform.Write) error {
	if b.transact != nil {
		return b.transact(b, ctx, writes)
	}
	return b.Table.Transact(ctx, writes)
}

func (b *faultyTable) Get(ctx context.Context, key string) (platform.Row, bool, error) {
	if b.get != nil {
		return b.get(b, ctx, key)
	}
	return b.Table.Get(ctx, key)
}

// Guards against a checker that accepts histories from a faulty platform. Each table
// violates one guarantee that the acceptance of edits depends on; at least one of four runs
// over it must fail the check.
func TestProofCheckerDetectsFaultyTables(t *testing.T) {
	tables := map[string]*faultyTable{
		"stale reads": {get: func(b *faultyTable, ctx context.Context, key string) (platform.Row, bool, error) {
			row, ok, err := b.Table.Get(ctx, key)
			if key != accept.HeadKey || err != nil || !ok {
				return row, ok, err
			}
			stale := b.oneIn(4)
			b.mu.Lock()
			defer b.mu.Unlock()
			if stale && b.previous.Revision >= sections { // not while Workload.Run creates the sections
				return b.previous, true, nil
			}
			b.previous = row
			return row, ok, err
		}},
		"conditions ignored": {transact: func(b *faultyTable, ctx context.Context, writes []platform.Write) error {
			for i := range writes {
				writes[i].Condition = platform.Always
			}
			return b.Table.Transact(ctx, writes)
		}},
		"unknown outcome reported as unavailable": {transact: func(b *faultyTable, ctx context.Context, writes []platform.Write) error {
			err := b.Table.Transact(ctx, writes)
			if errors.Is(err, platform.ErrUnknownOutcome) {
				return platform.ErrUnavailable
			}
			return err
		}},
		"record not written": {transact: func(b *faultyTable, ctx context.Context, writes []platform.Write) error {
			if strings.HasPrefix(writes[0].Key, "op/op-") && b.oneIn(4) {
				writes = writes[1:]
			}
			return b.Table.Transact(ctx, writes)
		}},
		"write acknowledged and dropped": {transact: func(b *faultyTable, ctx context.Context, writes []platform.Write) error {
			if strings.HasPrefix(writes[0].Key, "op/op-") && b.oneIn(8) {
				return nil
			}
			return b.Table.Transact(ctx, writes)
		}},
	}
	for name := range tables {
		t.Run(name, func(t *testing.T) {
			found := 0
			for i := range uint64(4) {
				s := seed()*1000 + i
				_, err := runInMemory(t, s, func(inner platform.Table) platform.Table {
					b := tables[name]
					return &faultyTable{Table: inner, rnd: rand.New(rand.NewPCG(s, 97)), transact: b.transact, get: b.get}
				})
				if errors.Is(err, ErrViolation) {
					found++
				} else if err != nil {
					t.Errorf("run failed with an error other than ErrViolation: %v", err)
				}
			}
			if found == 0 {
				t.Error("no run over the faulty table failed the check")
			}
			t.Logf("%d of 4 runs failed the check", found)
		})
	}
}

// Guards against a checker that accepts an invalid history. Each history except
// "correct" violates one rule of the model.
func TestProofCheckerDetectsInvalidHistories(t *testing.T) {
	ref := func(revision uint64) config.SectionRef {
		return config.SectionRef{Hash: string(rune('a' + revision)), Revision: revision}
	}
	head := func(revision, a, b uint64) Output {
		h := config.Head{Revision: revision, Sections: map[string]config.SectionRef{}}
		for name, r := range map[string]uint64{"a": a, "b": b} {
			if r > 0 {
				h.Sections[name] = ref(r)
			}
		}
		return Output{Head: h}
	}
	edit := func(section, id string, base, revision uint64) Operation {
		return Operation{Input: Input{Kind: Edit, Section: section, OperationID: id, BaseRevision: base},
			Output: Output{Outcome: Accepted, Revision: revision, SectionRevision: base + 1, Hash: ref(base + 1).Hash}}
	}
	refuse := func(section, id string, base uint64, out Output) Operation {
		return Operation{Input: Input{Kind: Edit, Section: section, OperationID: id, BaseRevision: base}, Output: out}
	}
	read := func(out Output) Operation { return Operation{Input: Input{Kind: ReadHead}, Output: out} }
	lookUp := func(id string, out Output) Operation {
		return Operation{Input: Input{Kind: ReadOperation, OperationID: id}, Output: out}
	}
	conflict := func(current uint64) Output { return Output{Outcome: Conflict, CurrentRevision: current} }
	tests := map[string]struct {
		ok      bool
		history []Operation // sequential
	}{
		"correct": {true, []Operation{edit("a", "1", 0, 1), edit("b", "2", 0, 2), read(head(2, 1, 1)), refuse("a", "3", 0, conflict(1)),
			refuse("a", "4", 1, Output{Outcome: Refused}), edit("a", "5", 1, 3), edit("a", "5", 1, 3), lookUp("4", Output{}),
			lookUp("5", Output{Found: true, Revision: 3, SectionRevision: 2, Hash: ref(2).Hash}), read(head(3, 2, 1))}},
		"stale head":                      {false, []Operation{edit("a", "1", 0, 1), edit("a", "2", 1, 2), read(head(1, 1, 0))}},
		"head revision decreases":         {false, []Operation{edit("a", "1", 0, 1), read(head(1, 1, 0)), read(head(0, 0, 0))}},
		"lost update":                     {false, []Operation{edit("a", "1", 0, 1), edit("a", "2", 1, 2), edit("a", "3", 1, 3)}},
		"revision used twice":             {false, []Operation{edit("a", "1", 0, 1), edit("b", "2", 0, 1)}},
		"revision skipped":                {false, []Operation{edit("a", "1", 0, 1), edit("b", "2", 0, 3)}},
		"applied twice":                   {false, []Operation{edit("a", "1", 0, 1), edit("a", "1", 1, 2)}},
		"repeated edit with other result": {false, []Operation{edit("a", "1", 0, 1), edit("b", "2", 0, 2), edit("a", "1", 0, 2)}},
		"false conflict":                  {false, []Operation{edit("a", "1", 0, 1), refuse("a", "2", 1, conflict(2))}},
		"conflict with current base":      {false, []Operation{edit("a", "1", 0, 1), refuse("a", "2", 1, conflict(1))}},
		"conflict after success":          {false, []Operation{edit("a", "1", 0, 1), refuse("a", "1", 0, conflict(1))}},
		"refused edit visible":            {false, []Operation{edit("a", "1", 0, 1), refuse("a", "2", 1, Output{Outcome: Refused}), read(head(2, 2, 0))}},
		"sections from two heads":         {false, []Operation{edit("a", "1", 0, 1), edit("b", "2", 0, 2), edit("a", "3", 1, 3), read(head(3, 1, 1))}},
		"record missing":                  {false, []Operation{edit("a", "1", 0, 1), lookUp("1", Output{})}},
		"record of refused edit":          {false, []Operation{refuse("a", "1", 0, Output{Outcome: Refused}), lookUp("1", Output{Found: true, Revision: 1})}},
		"unknown outcome not resolved":    {false, []Operation{refuse("a", "1", 0, Output{Outcome: Unknown})}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for i := range test.history {
				test.history[i].Call, test.history[i].Return = int64(2*i), int64(2*i+1)
			}
			if err := Check(test.history, checkTimeout); (err == nil) != test.ok || err != nil && !errors.Is(err, ErrViolation) {
				t.Errorf("Check: got error %v, want linearizable %v", err, test.ok)
			}
		})
	}
}

// Guards against an edit that is reported as not written (refused or conflict) although the
// platform has a record of it.
func TestResolveDetectsFalseRefusal(t *testing.T) {
	found := func(string) (accept.Result, bool, error) { return accept.Result{Revision: 2}, true, nil }
	for outcome, ok := range map[EditOutcome]bool{Refused: false, Conflict: false, Unknown: true, Accepted: true} {
		history := []Operation{{Input: Input{Kind: Edit, Section: "a", OperationID: "1"}, Output: Output{Outcome: outcome}}}
		if resolved, err := Resolve(history, found); (err == nil) != ok || ok && resolved[0].Output.Outcome != Accepted {
			t.Errorf("outcome %v: got history %v, error %v; want success %v", outcome, resolved, err, ok)
		}
	}
}
