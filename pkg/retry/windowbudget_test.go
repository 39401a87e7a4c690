package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderwood.example/corianderwood/pkg/config"
)

// Guards against more retries than the share allows in a window that ends with a
// retry, whatever the times of the attempts.
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
				t.Fatalf("%d retries in a window that allows %.1f", within(retries), allowed)
			}
		}
	})
}

// Replays an outage in which servers shed half of their requests for 8 s at 100
// requests a second. The saved tokens of a Budget at a quarter of the ratio, which it
// needs because it saves, repeat less than the share does.
func TestReplayHalfOfTheRequestsShed(t *testing.T) {
	s := NewWindowBudget(0.15, 10*time.Second)
	budget := NewBudget(config.Retry{Ratio: 0.05, Cap: 40})
	now := time.Unix(1_000_000, 0)
	share, saved := 0, 0
	for i := range 2000 { // 12 s of calm, then 8 s of trouble
		now = now.Add(10 * time.Millisecond)
		s.RecordFirst(now)
		budget.RecordFirstAt(now)
		if i < 1200 || i%2 == 0 {
			continue
		}
		if s.TryTake(now, 1) {
			share++
		}
		if budget.TryTakeAt(now) {
			saved++
		}
	}
	t.Logf("of 400 requests that were shed, %d were repeated with the share, %d with the budget", share, saved)
	if share <= saved || share > 151 {
		t.Errorf("the share repeats %d, the budget %d", share, saved)
	}
}
