package admission

import (
	"testing"
	"time"
)

// Guards against a failing server that is never retried because its failure rate does
// not decay, and against a failure rate that stays low while the server fails.
func TestFailureRate(t *testing.T) {
	var f failureTracker
	now := start
	for range 30 {
		now = now.Add(30 * time.Millisecond)
		f.observe(now, true)
	}
	if rate := f.rate(now); rate < 0.8 {
		t.Errorf("after 30 failures the rate is %.2f", rate)
	}
	if rate := f.rate(now.Add(6 * time.Second)); rate > 0.15 {
		t.Errorf("6 s later the rate is %.2f", rate)
	}
	for range 60 {
		now = now.Add(30 * time.Millisecond)
		f.observe(now, false)
	}
	if rate := f.rate(now); rate > 0.02 {
		t.Errorf("after 60 successes the rate is %.2f", rate)
	}
}
