package accept

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/platform/memory"
)

// fixture is an acceptor with an empty in-memory platform.
type fixture struct {
	table   *memory.Table
	objects *memory.ObjectStore
	*Acceptor
}

func newFixture(opts Options) fixture {
	f := fixture{table: memory.NewTable(1), objects: memory.NewObjectStore(1)}
	f.Acceptor = New(f.table, f.objects, opts)
	return f
}

func section(t testing.TB, name string, timeoutMS int) config.Section {
	t.Helper()
	s, err := config.ParseSection(fmt.Appendf(nil, `{"name":%q,"team":"icemakers",
		"services":[{"name":"%s-service","version":"v1","timeout_ms":%d}],
		"routes":[{"name":"%s-route","path_prefix":"/%s","service":"%s-service"}]}`, name, name, timeoutMS, name, name, name))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func create(t testing.TB, f fixture, name string) Result {
	t.Helper()
	r, err := f.Edit(t.Context(), EditRequest{OperationID: "create-" + name, Team: config.AdminTeam, Section: section(t, name, 1000)})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func editRequest(t testing.TB, op string, base uint64, timeoutMS int) EditRequest {
	return EditRequest{OperationID: op, Team: "icemakers", Section: section(t, "sheetwatch", timeoutMS), BaseRevision: base}
}

// Guards against an edit that is reported as accepted but cannot be read back.
func TestEditIsReadBack(t *testing.T) {
	var held config.Head
	f := newFixture(Options{Replicate: func(_ context.Context, h config.Head, bodies map[string][]byte) []string {
		held = h
		if _, ok := bodies[h.Sections["sheetwatch"].Hash]; !ok {
			t.Error("Replicate was called without the new body")
		}
		return []string{"wgtn-b", "wgtn-c"}
	}})
	create(t, f, "sheetwatch")
	got, err := f.Edit(t.Context(), editRequest(t, "op-1", 1, 2000))
	if err != nil {
		t.Fatal(err)
	}
	head, ok, err := f.ReadHead(t.Context())
	if err != nil || !ok {
		t.Fatalf("ReadHead: %v, %v", ok, err)
	}
	ref := head.Sections["sheetwatch"]
	if got.Revision != 2 || head.Revision != 2 || ref.Hash != got.Hash || ref.Revision != got.SectionRevision || held.Revision != 2 || len(got.AckedBy) != 2 {
		t.Errorf("result %+v, head %+v, held %d", got, head, held.Revision)
	}
	body, err := f.ReadBody(t.Context(), got.Hash)
	if err != nil {
		t.Fatal(err)
	}
	if s, err := config.ParseBody(got.Hash, body); err != nil || s.Services[0].TimeoutMS != 2000 {
		t.Errorf("body %s: %v", body, err)
	}
	if record, ok, err := f.Operation(t.Context(), "op-1"); err != nil || !ok || record.Revision != 2 {
		t.Errorf("operation %+v, %v, %v", record, ok, err)
	}
}

// Guards against applying an operation twice and against accepting two edits with the
// same operation id.
func TestEditIsIdempotent(t *testing.T) {
	f := newFixture(Options{})
	create(t, f, "sheetwatch")
	first, err := f.Edit(t.Context(), editRequest(t, "op-1", 1, 2000))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Edit(t.Context(), editRequest(t, "op-2", 2, 2500)); err != nil {
		t.Fatal(err)
	}
	again, err := f.Edit(t.Context(), editRequest(t, "op-1", 1, 2000))
	if err != nil || again.Revision != first.Revision || again.Hash != first.Hash {
		t.Errorf("repeated edit: %+v, %v; want %+v", again, err, first)
	}
	if _, err := f.Edit(t.Context(), editRequest(t, "op-1", 1, 2100)); !errors.Is(err, ErrOperationReused) {
		t.Errorf("another edit under the same id: %v", err)
	}
	create(t, f, "floodbook")
	other := EditRequest{OperationID: "op-1", Team: "icemakers", Section: section(t, "floodbook", 2000), BaseRevision: 1}
	if _, err := f.Edit(t.Context(), other); !errors.Is(err, ErrOperationReused) {
		t.Errorf("an edit of another section under the same id: %v", err)
	}
	if head, _, _ := f.ReadHead(t.Context()); head.Revision != 4 {
		t.Errorf("head revision %d, want 4", head.Revision)
	}
}

// Guards against a lost update: an edit based on an old section revision must be
// rejected with the current revision.
func TestEditConflict(t *testing.T) {
	f := newFixture(Options{})
	create(t, f, "sheetwatch")
	if _, err := f.Edit(t.Context(), editRequest(t, "op-1", 1, 2000)); err != nil {
		t.Fatal(err)
	}
	_, err := f.Edit(t.Context(), editRequest(t, "op-2", 1, 2500))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current != 2 {
		t.Errorf("got %v, want a conflict with current revision 2", err)
	}
}

// Guards against a double application, a lost edit or a wrong rejection caused by a
// fault of the platform.
func TestEditUnderFaults(t *testing.T) {
	tests := map[string]struct {
		fault   func(f fixture)
		want    error // nil, platform.ErrUnavailable or platform.ErrUnknownOutcome
		applied bool
	}{
		"response lost":        {fault: func(f fixture) { f.table.DropResponses(2) }, applied: true},
		"request lost":         {fault: func(f fixture) { f.table.DropRequests(2) }, applied: true},
		"object response lost": {fault: func(f fixture) { f.objects.DropResponses(1) }, applied: true},
		"slow":                 {fault: func(f fixture) { f.table.SetFaults(memory.Faults{Delay: 400 * time.Millisecond}) }, applied: true},
		"table down":           {fault: func(f fixture) { f.table.SetFaults(memory.Faults{Down: true}) }, want: platform.ErrUnavailable},
		"objects down":         {fault: func(f fixture) { f.objects.SetFaults(memory.Faults{Down: true}) }, want: platform.ErrUnavailable},
		"write response lost, then down": {fault: func(f fixture) {
			f.table.SetFaults(memory.Faults{Delay: 200 * time.Millisecond})
			go func() {
				time.Sleep(350 * time.Millisecond) // between the effect of the transaction and its response
				f.table.SetFaults(memory.Faults{Down: true})
			}()
		}, want: platform.ErrUnknownOutcome, applied: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(Options{})
				create(t, f, "sheetwatch")
				test.fault(f)
				_, err := f.Edit(t.Context(), editRequest(t, "op-1", 1, 2000))
				if !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				f.table.SetFaults(memory.Faults{})
				f.objects.SetFaults(memory.Faults{})
				head, _, err := f.ReadHead(t.Context())
				if _, found, _ := f.Operation(t.Context(), "op-1"); err != nil || found != test.applied || (head.Revision == 2) != test.applied {
					t.Errorf("applied %v, head %d, %v; want applied %v", found, head.Revision, err, test.applied)
				}
			})
		})
	}
}

// Guards against concurrent operators that block each other: edits of different
// sections must all succeed, and of the edits of one section from the same revision
// exactly one must.
func TestProofRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const operators = 16
		f := newFixture(Options{})
		nodes := make([]*Acceptor, operators)
		for i := range nodes {
			nodes[i] = New(f.table, f.objects, Options{})
			create(t, f, fmt.Sprintf("s%d", i))
		}
		f.table.SetFaults(memory.Faults{Delay: 5 * time.Millisecond})
		race := func(sectionOf func(i int) string, op string) (accepted, conflicts int) {
			answers := make(chan error, operators)
			for i, node := range nodes {
				s := section(t, sectionOf(i), 2000+i)
				go func() {
					_, err := node.Edit(t.Context(), EditRequest{OperationID: fmt.Sprintf("%s-%d", op, i), Team: "icemakers", Section: s, BaseRevision: 1})
					answers <- err
				}()
			}
			for range nodes {
				var conflict *ConflictError
				if err := <-answers; err == nil {
					accepted++
				} else if errors.As(err, &conflict) && conflict.Current == 2 {
					conflicts++
				} else {
					t.Error(err)
				}
			}
			return accepted, conflicts
		}
		if accepted, _ := race(func(i int) string { return fmt.Sprintf("s%d", i) }, "own"); accepted != operators {
			t.Errorf("different sections: %d of %d accepted", accepted, operators)
		}
		create(t, f, "shared")
		if accepted, conflicts := race(func(int) string { return "shared" }, "shared"); accepted != 1 || conflicts != operators-1 {
			t.Errorf("one section: %d accepted, %d conflicts; want 1 and %d", accepted, conflicts, operators-1)
		}
		if head, _, err := f.ReadHead(t.Context()); err != nil || head.Revision != 2*operators+2 {
			t.Errorf("head revision %d, %v; want %d", head.Revision, err, 2*operators+2)
		}
	})
}

// Guards against an edit that ignores the recorded outcome of a move, or that is
// accepted while outcomes cannot be read.
func TestEditAfterMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var outcome config.MoveResult
		var failure error
		f := newFixture(Options{Outcome: func(context.Context, string) (config.MoveResult, bool, error) {
			return outcome, outcome != "", failure
		}})
		create(t, f, "sheetwatch")
		move := editRequest(t, "op-1", 1, 2000)
		move.Section.Services[0].Move = &config.Move{ID: "m1", To: "v2", FinishBy: time.Now().Add(time.Hour)}
		after := editRequest(t, "op-2", 2, 2000)
		after.Section.Services[0].Version = "v2"
		steps := []struct {
			request EditRequest
			outcome config.MoveResult
			failure error
			want    func(err error) bool
		}{
			{move, "", nil, func(err error) bool { return err == nil }},
			{after, "", nil, func(err error) bool { return len(config.Problems(err)) > 0 }},
			{after, config.MoveDone, platform.ErrUnavailable, func(err error) bool { return errors.Is(err, platform.ErrUnavailable) }},
			{after, config.MoveRolledBack, nil, func(err error) bool { return len(config.Problems(err)) > 0 }},
			{after, config.MoveDone, nil, func(err error) bool { return err == nil }},
		}
		for i, step := range steps {
			outcome, failure = step.outcome, step.failure
			if _, err := f.Edit(t.Context(), step.request); !step.want(err) {
				t.Errorf("step %d: %v", i, err)
			}
		}
	})
}

// Guards against a rejection while an earlier transaction of the same edit may still be
// applied: here the outcome of the move arrives after the transaction was sent.
func TestNoRejectionWhileWriteIsPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := newFixture(Options{Outcome: func(context.Context, string) (config.MoveResult, bool, error) {
			return config.MoveDone, time.Since(start) > 25*time.Millisecond, nil // after the first check, before the second
		}})
		create(t, f, "sheetwatch")
		request := editRequest(t, "op-1", 1, 2000)
		request.Section.Services[0].Move = &config.Move{ID: "m1", To: "v2", FinishBy: time.Now().Add(time.Hour)}
		f.table.SetFaults(memory.Faults{Delay: 20 * time.Millisecond, DelayWrite: 1, MaxWriteDelay: 2 * time.Second})
		if _, err := f.Edit(t.Context(), request); err != nil {
			t.Errorf("got %v, want the result of the delayed transaction", err)
		}
		if _, found, err := f.Operation(t.Context(), "op-1"); !found || err != nil {
			t.Errorf("operation: %v, %v", found, err)
		}
	})
}

// Guards against a response that waits for peers beyond the timeout, and against an
// edit that is applied again or replicated without its body when it is repeated after a
// lost response.
func TestReplicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var heads []uint64
		f := newFixture(Options{Replicate: func(ctx context.Context, h config.Head, bodies map[string][]byte) []string {
			heads = append(heads, h.Revision)
			if _, ok := bodies[h.Sections["sheetwatch"].Hash]; !ok {
				t.Errorf("the body of revision %d is missing", h.Revision)
			}
			<-ctx.Done() // no peer responds
			return nil
		}})
		start := time.Now()
		create(t, f, "sheetwatch")
		if took := time.Since(start); took != defaultReplicateTimeout {
			t.Errorf("the edit took %v, want %v", took, defaultReplicateTimeout)
		}
		request := editRequest(t, "op-1", 1, 2000)
		if _, err := f.Edit(t.Context(), request); err != nil {
			t.Fatal(err)
		}
		other := New(f.table, f.objects, f.opts)
		if _, err := other.Edit(t.Context(), request); err != nil {
			t.Fatal(err)
		}
		if want := []uint64{1, 2, 2}; fmt.Sprint(heads) != fmt.Sprint(want) {
			t.Errorf("heads %v, want %v", heads, want)
		}
	})
}

// Guards against accepting a body whose content does not match its hash.
func TestReadBodyVerifiesHash(t *testing.T) {
	f := newFixture(Options{})
	hash := config.HashBody([]byte("a"))
	if err := f.objects.Put(t.Context(), SectionKey(hash), []byte("b")); err != nil {
		t.Fatal(err)
	}
	if _, err := f.ReadBody(t.Context(), hash); err == nil {
		t.Error("an altered body was accepted")
	}
}
