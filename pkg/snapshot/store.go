package snapshot

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// ErrNotNewer means that the snapshot's revision is not above the one in force.
var ErrNotNewer = errors.New("snapshot: the revision is not above the one in force; it is not applied")

// Store holds the snapshot in force. The zero value is an empty store. All methods
// may be called from any goroutine.
type Store struct {
	current atomic.Pointer[Snapshot]
	// mu orders Apply calls and owns watches and floor.
	mu      sync.Mutex
	watches map[chan *Snapshot]struct{}
	floor   uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{} }

// Current returns the snapshot in force, or nil before the first.
func (st *Store) Current() *Snapshot { return st.current.Load() }

// RaiseMinRevision makes the store refuse revisions below floor, as learned from the
// platform or the floor keepers after a restart. It never lowers the floor.
func (st *Store) RaiseMinRevision(floor uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.floor = max(st.floor, floor)
}

// Apply puts a snapshot in force if its revision is above the one in force and not
// below the floor. Otherwise it returns an error that matches ErrNotNewer.
func (st *Store) Apply(s *Snapshot) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	lowest := max(st.floor, 1)
	if current := st.current.Load(); current != nil {
		lowest = max(lowest, current.Revision()+1)
	}
	if s.Revision() < lowest {
		refusedSnapshots.Inc()
		return fmt.Errorf("%w (revision %d, lowest allowed %d)", ErrNotNewer, s.Revision(), lowest)
	}
	st.current.Store(s)
	revisionInForce.Set(float64(s.Revision()))
	appliedSnapshots.Inc()
	for watch := range st.watches {
		replace(watch, s)
	}
	return nil
}

// Watch returns a channel that receives the snapshot in force, if there is one, and
// every later one; a slow receiver gets only the newest. The channel is closed when
// ctx ends.
func (st *Store) Watch(ctx context.Context) <-chan *Snapshot {
	watch := make(chan *Snapshot, 1)
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.watches == nil {
		st.watches = map[chan *Snapshot]struct{}{}
	}
	st.watches[watch] = struct{}{}
	if current := st.current.Load(); current != nil {
		watch <- current
	}
	context.AfterFunc(ctx, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		delete(st.watches, watch)
		close(watch)
	})
	return watch
}

// replace puts s into a channel of capacity 1 in place of an older snapshot. Only
// the holder of Store.mu sends, so the second send never blocks.
func replace(watch chan *Snapshot, s *Snapshot) {
	select {
	case <-watch:
	default:
	}
	watch <- s
}
