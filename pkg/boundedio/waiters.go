package boundedio

import (
	"math"
	"sync"
	"sync/atomic"
)

// waiters are those who wait for memory of a budget. Who holds least gets it first. It is safe for
// concurrent use; mu guards waiting.
type waiters struct {
	mu      sync.Mutex
	waiting map[*waiter]struct{}
	// least is what the one holds that holds least, if count is above zero.
	least, count atomic.Int64
}

type waiter struct{ held int64 }

func (w *waiters) add(held int64) *waiter {
	added := &waiter{held}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting == nil {
		w.waiting = make(map[*waiter]struct{})
	}
	w.waiting[added] = struct{}{}
	w.update()
	return added
}

func (w *waiters) remove(done *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiting, done)
	w.update()
}

// update sets what others read without the lock. The caller holds mu.
func (w *waiters) update() {
	least := int64(math.MaxInt64)
	for other := range w.waiting {
		least = min(least, other.held)
	}
	w.least.Store(least)
	w.count.Store(int64(len(w.waiting)))
}

// precede reports whether one waits that holds less.
func (w *waiters) precede(held int64) bool { return w.count.Load() > 0 && w.least.Load() < held }
