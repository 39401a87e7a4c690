package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Guards against ids that count as repeated though they came once, and against a set that
// grows without bound.
func TestRecentIDs(t *testing.T) {
	r, start := newRecentIDs(maxRecentIDs), time.Now()
	for i := range 3 * maxRecentIDs {
		now := start.Add(time.Duration(i) * time.Millisecond)
		id := fmt.Sprint("id-", i)
		if _, repeated := r.receive(now, id); repeated {
			t.Fatalf("%s counts as repeated", id)
		}
		if i%100 != 0 {
			continue
		}
		if age, repeated := r.receive(now.Add(time.Second), id); !repeated || age != time.Second {
			t.Fatalf("%s: repeated %t, age %v", id, repeated, age)
		}
	}
	if len(r.first) != maxRecentIDs || len(r.order) != maxRecentIDs {
		t.Errorf("%d ids and %d places, want %d", len(r.first), len(r.order), maxRecentIDs)
	}
	if _, repeated := r.receive(start, "id-0"); repeated {
		t.Error("an id is kept for longer than the bound says")
	}
}

// Guards against an id that was forgotten, comes again, and is lost with its first place.
func TestForgottenIDComesAgain(t *testing.T) {
	const capacity = 8
	r, now := newRecentIDs(capacity), time.Now()
	r.receive(now, "r")
	r.forget("r")
	for i := range capacity - 1 {
		r.receive(now, fmt.Sprint("other-", i))
	}
	if _, repeated := r.receive(now, "r"); repeated {
		t.Error("a forgotten id counts as repeated")
	}
	if _, repeated := r.receive(now, "r"); !repeated {
		t.Error("an id that came again is not kept")
	}
}
