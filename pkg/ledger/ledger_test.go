package ledger

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"corianderwood.example/corianderwood/pkg/reason"
)

var epoch = time.Unix(1_800_000_000, 0)

// fakeClock is a clock that only the test advances.
type fakeClock struct{ now time.Time }

func newTestLedger(o Options) (*Ledger, *fakeClock) {
	clock := &fakeClock{now: epoch}
	o.Now = func() time.Time { return clock.now }
	return New(o), clock
}

// Guards against a wrong admission or report in any state of a call id.
func TestOutcomes(t *testing.T) {
	stored := Outcome{HasResponse: true, Status: 200, Body: []byte("ok")}
	for _, tc := range []struct {
		name  string
		steps func(l *Ledger, id CallID) reason.Refusal // last admission
		fence bool
		admit reason.Refusal
		want  Report
	}{
		{"never arrived, not fenced", func(*Ledger, CallID) reason.Refusal { return "" }, false, "", Report{Ran: reason.RanUnknown}},
		{"never arrived, fenced", func(*Ledger, CallID) reason.Refusal { return "" }, true, "", Report{Ran: reason.RanNo}},
		{"arrives after the fence", func(l *Ledger, id CallID) reason.Refusal {
			l.Query(context.Background(), id, true)
			return l.Admit(epoch, id, epoch.Add(time.Second))
		}, true, reason.Fenced, Report{Ran: reason.RanNo}},
		{"stored response", func(l *Ledger, id CallID) reason.Refusal {
			why := l.Admit(epoch, id, epoch.Add(time.Second))
			l.Finish(epoch, id, stored)
			return why
		}, true, "", Report{Ran: reason.RanYes, Outcome: &Outcome{HasResponse: true, Status: 200, Body: []byte("ok")}}},
		{"large response", func(l *Ledger, id CallID) reason.Refusal {
			why := l.Admit(epoch, id, epoch.Add(time.Second))
			l.Finish(epoch, id, Outcome{HasResponse: true, Body: make([]byte, MaxResponseBody+1)})
			return why
		}, true, "", Report{Ran: reason.RanYes}},
		{"not run", func(l *Ledger, id CallID) reason.Refusal {
			why := l.Admit(epoch, id, epoch.Add(time.Second))
			l.Finish(epoch, id, Outcome{Ran: reason.RanNo})
			return why
		}, true, "", Report{Ran: reason.RanNo}},
		{"admitted twice", func(l *Ledger, id CallID) reason.Refusal {
			l.Admit(epoch, id, epoch.Add(time.Second))
			l.Finish(epoch, id, Outcome{Ran: reason.RanUnknown})
			return l.Admit(epoch, id, epoch.Add(time.Second))
		}, true, reason.OutcomeUnknown, Report{Ran: reason.RanUnknown}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, _ := newTestLedger(Options{})
			id := CallID{1, 2}
			if why := tc.steps(l, id); why != tc.admit {
				t.Errorf("admission %q, want %q", why, tc.admit)
			}
			if diff := cmp.Diff(tc.want, l.Query(context.Background(), id, tc.fence)); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a query that returns before the running call has ended, or that
// still waits after its context or the call has ended.
func TestQueryWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Options{})
		id := CallID{1, 1}
		l.Admit(time.Now(), id, time.Now().Add(time.Minute))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if got := l.Query(ctx, id, true); !got.Running || got.Ran != reason.RanUnknown {
			t.Errorf("report of a running call: %+v", got)
		}
		begun := time.Now()
		time.AfterFunc(3*time.Second, func() { l.Finish(time.Now(), id, Outcome{HasResponse: true, Status: 201}) })
		got := l.Query(t.Context(), id, true)
		if got.Ran != reason.RanYes || got.Outcome == nil || got.Outcome.Status != 201 || time.Since(begun) != 3*time.Second {
			t.Errorf("report %+v after %v", got, time.Since(begun))
		}
	})
}

// Guards against a full ledger that evicts entries instead of refusing calls, and
// against running out of room for fenced ids once calls have filled the ledger.
func TestFullLedgerRefuses(t *testing.T) {
	l, clock := newTestLedger(Options{MaxEntries: 16, EntryGrace: time.Second, FenceTTL: time.Minute})
	deadline := epoch.Add(time.Second)
	for i := range 16 {
		if why := l.Admit(epoch, CallID{1, uint64(i)}, deadline); why != "" {
			t.Fatalf("call %d refused: %s", i, why)
		}
	}
	if why := l.Admit(epoch, CallID{1, 100}, deadline); why != reason.LedgerFull {
		t.Errorf("admission to a full ledger: %q", why)
	}
	for i := range 2 {
		if got := l.Query(context.Background(), CallID{2, uint64(i)}, true); got.Ran != reason.RanNo {
			t.Errorf("fence %d on a full ledger: %+v", i, got)
		}
	}
	if got := l.Query(context.Background(), CallID{2, 9}, true); got.Ran != reason.RanUnknown {
		t.Errorf("a query whose fence can't be recorded: %+v, want unknown", got)
	}
	for i := range 16 {
		l.Finish(epoch, CallID{1, uint64(i)}, Outcome{})
	}
	clock.now = epoch.Add(5 * time.Second)
	if why := l.Admit(clock.now, CallID{1, 101}, clock.now); why != "" {
		t.Errorf("admission after the entries expired: %q", why)
	}
}

// Guards against stored responses that together exceed MaxResponseBytes.
func TestStoredResponsesAreBounded(t *testing.T) {
	l, _ := newTestLedger(Options{MaxResponseBytes: 10 * (1000 + responseOverhead)})
	for i := range 25 {
		id := CallID{1, uint64(i)}
		l.Admit(epoch, id, epoch)
		l.Finish(epoch, id, Outcome{HasResponse: true, Body: make([]byte, 1000)})
	}
	stored := 0
	for i := range 25 {
		got := l.Query(context.Background(), CallID{1, uint64(i)}, true)
		if got.Ran != reason.RanYes {
			t.Errorf("call %d: %+v", i, got)
		}
		if got.Outcome != nil {
			stored++
		}
	}
	if stored != 10 {
		t.Errorf("%d responses are stored, want 10", stored)
	}
}

// Guards against a call that is admitted after it was reported as not run, a report
// "not run" for a call that ran, a second admission of an id, and growth beyond the
// bound. Random steps on a small ledger make ids collide, be fenced and expire.
func TestProofLedgerHistories(t *testing.T) {
	seed := os.Getenv("SEED")
	if seed == "" {
		seed = "1"
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		l, clock := newTestLedger(Options{MaxEntries: 8, EntryGrace: 2 * time.Second, FenceTTL: 3 * time.Second})
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		began, notRun, running := map[CallID]bool{}, map[CallID]bool{}, map[CallID]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := CallID{uint64(rapid.IntRange(1, 2).Draw(t, "entrance")), uint64(rapid.IntRange(1, 12).Draw(t, "counter"))}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if l.Admit(clock.now, id, clock.now.Add(time.Second)) != "" {
					continue
				}
				if notRun[id] || began[id] {
					t.Fatalf("%s admitted; reported not run: %v, began before: %v", id, notRun[id], began[id])
				}
				began[id], running[id] = true, true
			case 1:
				l.Finish(clock.now, id, Outcome{HasResponse: true})
				delete(running, id)
			case 2:
				got := l.Query(canceled, id, true)
				if got.Ran == reason.RanNo {
					notRun[id] = true
				}
				if got.Ran == reason.RanNo && began[id] || got.Running != running[id] {
					t.Fatalf("%s: report %+v; began %v, running %v", id, got, began[id], running[id])
				}
			case 3:
				clock.now = clock.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			}
			if n := l.Len(); n > 9 {
				t.Fatalf("%d entries, want at most 9", n)
			}
		}
	})
}

// Guards against a text form that loses bits of the id, and against malformed texts
// that are accepted.
func TestCallIDText(t *testing.T) {
	id := CallID{0xfedcba9876543210, 42}
	back, err := ParseCallID(id.String())
	if err != nil || back != id {
		t.Errorf("%s became %v, error %v", id, back, err)
	}
	for _, bad := range []string{"", "12", fmt.Sprintf("%032s", "x")} {
		if _, err := ParseCallID(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
