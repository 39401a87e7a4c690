package dispatch

import (
	"hash/maphash"
	"sync"
	"time"
)

// recentIDs holds the times at which the last different request ids were first received, up to
// a number of them. It is safe for concurrent use; mu guards the state.
type recentIDs struct {
	seed     maphash.Seed
	capacity int

	mu    sync.Mutex
	first map[uint64]time.Time // by hash of the id
	order []uint64             // hashes in the order of receipt, as a ring
	next  int
}

func newRecentIDs(capacity int) *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), capacity: capacity, first: make(map[uint64]time.Time)}
}

// receive records an id, and returns the time since its first receipt and whether there was
// one.
func (r *recentIDs) receive(now time.Time, id string) (time.Duration, bool) {
	hash := maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if first, ok := r.first[hash]; ok {
		return now.Sub(first), true
	}
	if len(r.order) < r.capacity {
		r.order = append(r.order, hash)
	} else {
		delete(r.first, r.order[r.next]) // could be the same id, forgotten since
		r.order[r.next] = hash
		r.next = (r.next + 1) % r.capacity
	}
	r.first[hash] = now
	return 0, false
}

// forget removes an id, so that it counts as new if it comes again.
func (r *recentIDs) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.first, maphash.String(r.seed, id))
}
