package proxy

import (
	"testing"
	"time"
)

// Guards against connections that are used without a rest, or rest when they need not.
func TestRestSchedule(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	for _, tc := range []struct {
		name      string
		named     bool
		idleSince time.Time
		now       time.Time
		want      bool
	}{
		{"used for a short time", false, at(restAfter - 1), at(restAfter), false},
		{"used for long", false, at(restAfter), at(restAfter + 1), true},
		{"has rested", false, at(restAfter), at(restAfter + restTime), false},
		{"names its exchanges", true, at(restAfter), at(restAfter + 1), false},
	} {
		r := restSchedule{since: start, named: tc.named}
		if got := r.isResting(tc.now, tc.idleSince); got != tc.want {
			t.Errorf("%s: resting %v, want %v", tc.name, got, tc.want)
		}
	}
	r := restSchedule{since: start}
	r.taken(at(restTime-1), start)
	if r.since != start {
		t.Error("a short pause counts as a rest")
	}
	if r.taken(at(restTime), start); r.since != at(restTime) {
		t.Error("a long pause does not count as a rest")
	}
}
