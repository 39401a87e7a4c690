package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderwood.example/corianderwood/pkg/config"
)

// Guards against more retries than the limit in any window that ends with a retry, for
// arbitrary times of the attempts.
func TestShareKeepsEveryWindow(t *testing.T) {
	const ratio, extra, window = 0.15, 3.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		s := NewWindowBudget(ratio, window)
		now := time.Unix(1_000_000, 0)
		var firsts, retries []time.Time
		within := func(list []time.Time) (n int) {
			for _, at := range list {
				if now.Sub(at) < window {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "firsts") {
				s.RecordFirst(now)
				firsts = append(firsts, now)
			}
			taken := false
			for range rapid.IntRange(0, 8).Draw(t, "retries") {
				if s.TryTake(now, extra) {
					retries, taken = append(retries, now), true
				}
			}
			if allowed := ratio*float64(within(firsts)) + extra; taken && float64(within(retries)) > allowed {
				t.Fatalf("%d retries in a window, limit %.1f", within(retries), allowed)
			}
		}
	})
}

// Simulates an outage in which servers shed half of the requests for 8 s at 100
// requests/s. Guards against a window budget that allows fewer retries than a Budget
// with a third of its ratio, which must be lower because a Budget saves tokens for
// later.
func TestReplayHalfOfTheRequestsShed(t *testing.T) {
	s := NewWindowBudget(0.15, 10*time.Second)
	budget := NewBudget(config.Retry{Ratio: 0.05, Cap: 40})
	now := time.Unix(1_000_000, 0)
	windowRetries, tokenRetries := 0, 0
	for i := range 2000 { // 12 s without failures, then 8 s with failures
		now = now.Add(10 * time.Millisecond)
		s.RecordFirst(now)
		budget.RecordFirstAt(now)
		if i < 1200 || i%2 == 0 {
			continue
		}
		if s.TryTake(now, 1) {
			windowRetries++
		}
		if budget.TryTakeAt(now) {
			tokenRetries++
		}
	}
	t.Logf("of 400 shed requests, %d were retried with the window budget, %d with the token budget", windowRetries, tokenRetries)
	if windowRetries <= tokenRetries || windowRetries > 151 {
		t.Errorf("%d retries with the window budget, %d with the token budget, want more and at most 151", windowRetries, tokenRetries)
	}
}
