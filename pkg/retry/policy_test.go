package retry

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/reason"
)

// TestMain sets the seed of rapid to the environment variable SEED, or to 1.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("SEED")
	if seed == "" {
		seed = "1"
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newPolicy(p config.Retry) *Policy {
	return NewPolicy("test", p, rand.New(rand.NewPCG(1, 1)))
}

// Guards against retrying non-repeatable calls that may have run, client errors, and
// calls that a lower level has already retried.
func TestClassify(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		want    Classification
	}{
		{"success", Outcome{Status: 200, Repeatable: true}, Classification{Class: ClassSuccess}},
		{"redirect", Outcome{Status: 302, Repeatable: true}, Classification{Class: ClassSuccess}},
		{"unavailable", Outcome{Status: 503, Repeatable: true}, Classification{Retryable: true, Why: reason.RetryUnavailable, Class: Class5xx}},
		{"unavailable, not repeatable", Outcome{Status: 503}, Classification{Class: Class5xx}},
		{"unavailable, ran, not repeatable", Outcome{Status: 503, Ran: reason.RanYes}, Classification{Class: Class5xx}},
		{"refused", Outcome{Status: 503, Ran: reason.RanNo}, Classification{Retryable: true, Why: reason.RetryNotRun, Class: Class5xx}},
		{"internal error", Outcome{Status: 500, Repeatable: true}, Classification{Class: Class5xx}},
		{"not implemented", Outcome{Status: 501, Repeatable: true}, Classification{Class: Class5xx}},
		{"throttled", Outcome{Status: 429, RetryAfter: time.Second, Repeatable: true},
			Classification{Retryable: true, Why: reason.RetryThrottled, Wait: time.Second, Class: ClassThrottled}},
		{"throttled, not repeatable", Outcome{Status: 429}, Classification{Class: ClassThrottled}},
		{"no connection", Outcome{ConnectFailure: true}, Classification{Retryable: true, Why: reason.RetryConnectFailure, Class: ClassConnect}},
		{"broken", Outcome{Broken: true, Repeatable: true}, Classification{Retryable: true, Why: reason.RetryBroken, Class: ClassBroken}},
		{"broken, not repeatable", Outcome{Broken: true}, Classification{Class: ClassBroken}},
		{"broken, known not to have run", Outcome{Broken: true, Ran: reason.RanNo}, Classification{Retryable: true, Why: reason.RetryNotRun, Class: ClassBroken}},
		{"timeout", Outcome{TimedOut: true, Repeatable: true}, Classification{Retryable: true, Why: reason.RetryTimeout, Class: ClassTimeout}},
		{"timeout, not repeatable", Outcome{TimedOut: true}, Classification{Class: ClassTimeout}},
		{"spent", Outcome{Status: 504, Spent: true, Repeatable: true}, Classification{Why: reason.RetryUnavailable, Class: Class5xx, Spent: true}},
		{"spent, not run", Outcome{Status: 503, Ran: reason.RanNo, Spent: true}, Classification{Why: reason.RetryNotRun, Class: Class5xx, Spent: true}},
		{"nothing known", Outcome{Repeatable: true}, Classification{Class: ClassUnknown}},
	} {
		if diff := cmp.Diff(c.want, Classify(c.outcome)); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", c.name, diff)
		}
	}
	for status := 400; status < 500; status++ {
		v := Classify(Outcome{Status: status, Ran: reason.RanNo, Repeatable: true})
		if want := status == 429; v.Retryable != want {
			t.Errorf("status %d: retryable %v, want %v", status, v.Retryable, want)
		}
	}
}

// Guards against a wrong order of the checks, and against taking tokens for refused
// retries.
func TestDecide(t *testing.T) {
	failed := Classify(Outcome{Status: 503, Repeatable: true})
	notRun := Classify(Outcome{Status: 503, Ran: reason.RanNo})
	later := Classify(Outcome{Status: 429, RetryAfter: time.Second, Repeatable: true})
	spent := Classify(Outcome{Status: 503, Repeatable: true, Spent: true})
	for _, c := range []struct {
		name           string
		classification Classification
		attempt        int
		left           time.Duration
		emptyBudget    bool
		refused        reason.Refusal
		from, to       time.Duration // the wait is in [from, to)
	}{
		{"first retry", failed, 1, time.Minute, false, "", 0, DefaultBase},
		{"second retry", failed, 2, time.Minute, false, "", 0, 2 * DefaultBase},
		{"not run, first retry without wait", notRun, 1, 10 * time.Millisecond, false, "", 0, 1},
		{"not run, second retry with wait", notRun, 2, time.Minute, false, "", 1, 2 * DefaultBase},
		{"retry-after", later, 1, time.Minute, false, "", time.Second, time.Second + DefaultBase},
		{"retry-after past the deadline", later, 1, 900 * time.Millisecond, false, reason.RetryDeadline, 0, 0},
		{"attempts", failed, MaxAttempts, time.Minute, false, reason.RetryAttempts, 0, 0},
		{"deadline", failed, 1, 0, false, reason.RetryDeadline, 0, 0},
		{"deadline before budget", failed, 1, 0, true, reason.RetryDeadline, 0, 0},
		{"budget", failed, 1, time.Minute, true, reason.RetryBudget, 0, 0},
		{"budget, not run", notRun, 1, time.Minute, true, reason.RetryBudget, 0, 0},
		{"spent", spent, 1, time.Minute, false, reason.RetrySpent, 0, 0},
		{"success", Classification{}, 1, time.Minute, false, "", 0, 0},
	} {
		p := newPolicy(config.Retry{})
		p.FirstAttemptAt(origin)
		for c.emptyBudget && p.budget.TryTakeAt(origin) {
			continue
		}
		before := p.Tokens()
		d := p.Decide(origin, origin.Add(c.left), c.attempt, c.classification, time.Millisecond)
		if want := c.to > 0; d.Retry != want || d.Refused != c.refused {
			t.Errorf("%s: %+v, want retry %v, refusal %q", c.name, d, want, c.refused)
		} else if d.Retry && (d.Wait < c.from || d.Wait >= c.to) {
			t.Errorf("%s: wait %v, want in [%v, %v)", c.name, d.Wait, c.from, c.to)
		}
		if taken := before - p.Tokens(); (taken == 1) != d.Retry {
			t.Errorf("%s: %v tokens taken, retry %v", c.name, taken, d.Retry)
		}
	}
}

// budgetModel records the operations on a budget and checks the bounds on its tokens.
type budgetModel struct {
	first, taken int
	tokens       float64
}

func (m budgetModel) check(ratio float64, limit int) error {
	earned := float64(limit) + ratio*float64(m.first) + 1e-6
	switch {
	case m.tokens < 0:
		return fmt.Errorf("%v tokens remain", m.tokens)
	case m.tokens > float64(limit)+1e-6:
		return fmt.Errorf("%v tokens remain, more than the cap %d", m.tokens, limit)
	case float64(m.taken)+m.tokens > earned:
		return fmt.Errorf("%d tokens taken and %v remain, but at most %v were earned", m.taken, m.tokens, earned)
	}
	return nil
}

// Guards against a negative number of tokens, one above the cap, and more retries than
// the cap and the ratio allow.
func TestProofBudgetBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := config.Retry{
			Ratio: rapid.Float64Range(0.01, 1).Draw(t, "ratio"),
			Cap:   rapid.IntRange(1, 100).Draw(t, "cap"),
		}
		b, now := NewBudget(p), origin
		var m budgetModel
		t.Repeat(map[string]func(*rapid.T){
			"first": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "calls") {
					b.RecordFirstAt(now)
					m.first++
				}
			},
			"take": func(*rapid.T) {
				if b.TryTakeAt(now) {
					m.taken++
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-1000, 30_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				m.tokens = b.Tokens()
				if err := m.check(p.Ratio, p.Cap); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
	for _, broken := range []budgetModel{{tokens: -0.1}, {tokens: 11}, {first: 10, taken: 12}} {
		if broken.check(0.1, 10) == nil {
			t.Errorf("the check accepts the invalid state %+v", broken)
		}
	}
}

// Guards against lost updates and a negative number of tokens under concurrent use.
func TestBudgetConcurrent(t *testing.T) {
	b := NewBudget(config.Retry{Ratio: 0.5, Cap: 10})
	var wg sync.WaitGroup
	var mu sync.Mutex
	taken := 0
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				b.RecordFirstAt(origin)
				if b.TryTakeAt(origin) {
					mu.Lock()
					taken++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	if got := float64(taken) + b.Tokens(); got > 10+0.5*8000 || b.Tokens() < 0 {
		t.Errorf("%d tokens taken, %v remain", taken, b.Tokens())
	}
}

// Guards against processes with few calls that hold enough tokens to multiply the load
// of an outage, and against processes with many calls that cannot fill the cap.
func TestBudgetExpires(t *testing.T) {
	for _, c := range []struct {
		name     string
		gap      time.Duration
		from, to float64 // tokens after two minutes of calls
	}{
		{"one call in two seconds", 2 * time.Second, 3, 4},
		{"200 calls/s", 5 * time.Millisecond, 100, 100},
	} {
		b, now := NewBudget(config.Retry{}), origin
		for ; now.Sub(origin) < 2*time.Minute; now = now.Add(c.gap) {
			b.RecordFirstAt(now)
		}
		if tokens := b.Tokens(); tokens < c.from || tokens > c.to {
			t.Errorf("%s: %v tokens, want %v to %v", c.name, tokens, c.from, c.to)
		}
	}
}

// Guards against attempt deadlines at or after the attempt deadline of the level above.
func TestAttemptDeadline(t *testing.T) {
	in := func(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		deadline time.Time
		timeout  time.Duration
		want     time.Time
	}{
		{in(1000), 300 * time.Millisecond, in(300)},
		{in(300), 300 * time.Millisecond, in(290)},
		{in(1000), 0, in(990)},
		{time.Time{}, 300 * time.Millisecond, in(300)},
		{time.Time{}, 0, time.Time{}},
	} {
		if got := AttemptDeadline(origin, c.deadline, c.timeout); !got.Equal(c.want) {
			t.Errorf("deadline %v, timeout %v: %v, want %v", c.deadline, c.timeout, got, c.want)
		}
	}
}
