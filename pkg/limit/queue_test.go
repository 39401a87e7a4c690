package limit

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

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

// model tracks all calls offered to a Queue in order of arrival.
type model struct {
	queue *Queue
	calls []*Waiter
	now   time.Time
	// maxRunning is the maximum number of running calls: the slots, or the number of
	// calls that were running when the slots were reduced.
	maxRunning int
}

// check returns an error for the first violated invariant.
func (m *model) check() error {
	running, queued, slots := m.queue.Load()
	m.maxRunning = max(slots, min(m.maxRunning, running))
	counts := make(map[waiterState]int)
	last, oldestWaiting := -1, len(m.calls)
	for i, w := range m.calls {
		counts[w.state]++
		switch {
		case w.state == waiting && oldestWaiting == len(m.calls):
			oldestWaiting = i
		case w.state == admitted || w.state == finished:
			last = i
		}
	}
	switch {
	case running > m.maxRunning:
		return fmt.Errorf("%d calls run, limit %d", running, m.maxRunning)
	case counts[admitted] != running:
		return fmt.Errorf("%d calls hold slots, but the queue counts %d", counts[admitted], running)
	case counts[waiting] != queued:
		return fmt.Errorf("%d calls wait, but the queue holds %d: an entry was lost", counts[waiting], queued)
	case queued > 0 && running < slots:
		return fmt.Errorf("%d calls wait while %d of %d slots are taken", queued, running, slots)
	case last > oldestWaiting:
		return fmt.Errorf("call %d overtook call %d", last, oldestWaiting)
	}
	return nil
}

func (m *model) checkDecided(t *rapid.T, decided []*Waiter) {
	for _, w := range decided {
		if w.Admitted() && !w.Deadline.IsZero() && m.now.After(w.Deadline) {
			t.Fatalf("a call was admitted after its deadline")
		}
		if !w.Admitted() && w.Refusal() == "" {
			t.Fatalf("a call returned as decided is neither admitted nor refused")
		}
	}
}

// Guards against more running calls than slots, lost or reordered entries, and free
// slots while calls wait, under random schedules.
func TestProofQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		m := &model{
			queue: NewQueue(config.Limits{Slots: slots, Queue: rapid.IntRange(1, 6).Draw(t, "queue")}),
			now:   time.Unix(0, 0), maxRunning: slots,
		}
		any := func(t *rapid.T) *Waiter {
			if len(m.calls) == 0 {
				t.Skip("no call")
			}
			return rapid.SampledFrom(m.calls).Draw(t, "call")
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				var deadline time.Time
				if ms := rapid.IntRange(0, 300).Draw(t, "deadline ms"); ms > 0 {
					deadline = m.now.Add(time.Duration(ms) * time.Millisecond)
				}
				_, queued, _ := m.queue.Load()
				w := m.queue.Offer(m.now, deadline)
				if w.Refusal() == reason.QueueFull && queued < m.queue.limits.Queue {
					t.Fatalf("refused as full with %d waiting calls of %d", queued, m.queue.limits.Queue)
				}
				m.calls = append(m.calls, w)
			},
			"finish": func(t *rapid.T) {
				m.checkDecided(t, m.queue.Finish(m.now, any(t), rapid.Bool().Draw(t, "aborted")))
			},
			"cancel": func(t *rapid.T) {
				w := any(t)
				if was := w.state == waiting; m.queue.Cancel(w, reason.Canceled) != was {
					t.Fatalf("Cancel of a call in state %d returned %v", w.state, !was)
				}
			},
			"limits": func(t *rapid.T) {
				l := config.Limits{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: rapid.IntRange(1, 6).Draw(t, "queue")}
				m.checkDecided(t, m.queue.SetLimits(m.now, l))
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if err := m.check(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

// Guards against an invariant check that accepts every state.
func TestProofQueueCheckerFails(t *testing.T) {
	offer := func(n int) *model {
		m := &model{queue: NewQueue(config.Limits{Slots: 1, Queue: 5}), maxRunning: 1}
		for range n {
			m.calls = append(m.calls, m.queue.Offer(time.Unix(0, 0), time.Time{}))
		}
		return m
	}
	for name, corrupt := range map[string]func(*model){
		"over the limit": func(m *model) { m.queue.running++ },
		"lost entry":     func(m *model) { m.queue.waiting.Remove(m.queue.waiting.Front()) },
		"overtaken":      func(m *model) { m.queue.remove(m.calls[2]); m.calls[2].state = finished },
		"idle slot":      func(m *model) { m.queue.running = 0; m.calls[0].state = finished },
	} {
		m := offer(3)
		if err := m.check(); err != nil {
			t.Fatalf("valid state: %v", err)
		}
		corrupt(m)
		if err := m.check(); err == nil {
			t.Errorf("%s: the check reported no violation", name)
		}
	}
}

// Guards against calls that wait although they cannot finish in time, and against a
// high estimate of the service time that refuses all calls forever.
func TestQueueShedsLateCalls(t *testing.T) {
	now := time.Unix(0, 0)
	q := NewQueue(config.Limits{Slots: 1, Queue: 10})
	for range 50 { // sets the estimated service time to 100 ms
		w := q.Offer(now, time.Time{})
		now = now.Add(100 * time.Millisecond)
		q.Finish(now, w, false)
	}
	running := q.Offer(now, now.Add(150*time.Millisecond))
	if late := q.Offer(now, now.Add(150*time.Millisecond)); late.Refusal() != reason.QueueDeadline {
		t.Errorf("a call with an expected 200 ms to completion and a deadline in 150 ms: refusal %q, want %q", late.Refusal(), reason.QueueDeadline)
	}
	next := q.Offer(now, now.Add(250*time.Millisecond))
	if next.Refusal() != "" {
		t.Fatalf("a call with an expected 200 ms to completion and a deadline in 250 ms was refused: %q", next.Refusal())
	}
	now = now.Add(200 * time.Millisecond) // the running call takes twice as long
	q.Finish(now, running, false)
	if next.Refusal() != reason.QueueDeadline {
		t.Errorf("a waiting call with 50 ms left: refusal %q, want %q", next.Refusal(), reason.QueueDeadline)
	}
	if w := q.Offer(now, now.Add(50*time.Millisecond)); !w.Admitted() {
		t.Errorf("a call was refused because of the estimate although a slot was free: %q", w.Refusal())
	}
}
