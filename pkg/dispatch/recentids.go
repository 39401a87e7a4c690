package dispatch

import (
	"hash/maphash"
	"sync"
	"time"
)

// recentIDs holds the times at which the last maxRecentIDs different request ids were first
// received. It is safe for concurrent use; mu guards the state.
type recentIDs struct {
	seed maphash.Seed

	mu    sync.Mutex
	first map[uint64]time.Time // by hash of the id
	order []uint64             // hashes in the order of receipt, as a ring
	next  int
}

func newRecentIDs() *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), first: make(map[uint64]time.Time)}
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
	r.first[hash] = now
	if len(r.order) < maxRecentIDs {
		r.order = append(r.order, hash)
		return 0, false
	}
	delete(r.first, r.order[r.next])
	r.order[r.next] = hash
	r.next = (r.next + 1) % maxRecentIDs
	return 0, false
}
