package proxy

import (
	"testing"
	"time"
)

// Guards against connections that are reused too early, or never again.
func TestReuseGuard(t *testing.T) {
	var g reuseGuard
	start := time.Unix(1000, 0)
	if g.forbidden() || g.lift(start) || g.maxIdle() != maxIdlePerAddress {
		t.Error("a new guard forbids the reuse")
	}
	if !g.forbid(start) || g.forbid(start.Add(time.Minute)) || !g.forbidden() || g.maxIdle() != maxWatchedPerAddress {
		t.Error("the reuse is not forbidden once")
	}
	for _, tc := range []struct {
		after time.Duration
		lifts bool
	}{{noReuseTime, false}, {noReuseTime + time.Minute, true}, {noReuseTime + time.Hour, false}} {
		if g.lift(start.Add(tc.after)) != tc.lifts {
			t.Errorf("after %v: lifted %v, want %v", tc.after, !tc.lifts, tc.lifts)
		}
	}
	if g.forbidden() {
		t.Error("the reuse stays forbidden")
	}
}
