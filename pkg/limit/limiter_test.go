package limit

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/reason"
)

// Guards against more running calls than slots, and against calls that never return,
// while calls arrive, wait, are canceled and finish concurrently.
func TestProofLimiterConcurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(config.Limits{Slots: 3, Queue: 5})
		var running, admittedCalls, refusedCalls atomic.Int64
		const calls = 300
		for i := range calls {
			go func() {
				time.Sleep(time.Duration(i%40) * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(5+i%70)*time.Millisecond)
				defer cancel()
				release, why := l.Acquire(ctx, time.Now().Add(time.Duration(20+i%100)*time.Millisecond))
				if why != "" {
					refusedCalls.Add(1)
					return
				}
				admittedCalls.Add(1)
				if n := running.Add(1); n > 3 {
					t.Errorf("%d calls run in 3 slots", n)
				}
				time.Sleep(time.Duration(1+i%9) * time.Millisecond)
				running.Add(-1)
				release()
				release()
			}()
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if n := admittedCalls.Load() + refusedCalls.Load(); n != calls {
			t.Errorf("%d of %d calls were admitted or refused", n, calls)
		}
		if running, queued, _ := l.Load(); running != 0 || queued != 0 {
			t.Errorf("%d running and %d waiting calls remain", running, queued)
		}
	})
}

// Guards against calls that stay in the queue after their caller has canceled them or
// when they can no longer finish in time.
func TestLimiterRemovesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(config.Limits{Slots: 1, Queue: 5})
		release, _ := l.Acquire(t.Context(), time.Time{})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		begin := time.Now()
		if _, why := l.Acquire(ctx, begin.Add(time.Second)); why != reason.Canceled {
			t.Errorf("canceled waiter: refusal %q", why)
		}
		if _, why := l.Acquire(t.Context(), begin.Add(50*time.Millisecond)); why != reason.QueueDeadline {
			t.Errorf("waiter past its deadline: refusal %q", why)
		}
		if waited := time.Since(begin); waited != 50*time.Millisecond {
			t.Errorf("the waiters were removed after %v, want 50ms", waited)
		}
		if _, queued, _ := l.Load(); queued != 0 {
			t.Errorf("%d waiters remain", queued)
		}
		release()
	})
}
