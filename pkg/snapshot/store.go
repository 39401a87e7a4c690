package snapshot

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// ErrNotNewer means that the snapshot's revision is not above the one in force or is
// below the minimum revision.
var ErrNotNewer = errors.New("snapshot: the revision was rejected because it is not above the one in force or is below the minimum revision")

// Store holds the snapshot in force. The zero value is an empty store. All methods may
// be called from any goroutine.
type Store struct {
	current atomic.Pointer[Snapshot]
	// mu serializes Apply calls and guards watchers and minRevision.
	mu          sync.Mutex
	watchers    map[chan *Snapshot]struct{}
	minRevision uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{} }

// Current returns the snapshot in force, or nil if none has been applied.
func (st *Store) Current() *Snapshot { return st.current.Load() }

// RaiseMinRevision makes the store reject revisions below the given one, which a
// restarted node reads from the platform or from the replicas of its minimum revision.
// The minimum is never lowered.
func (st *Store) RaiseMinRevision(revision uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.minRevision = max(st.minRevision, revision)
}

// Apply puts a snapshot in force if its revision is above the one in force and not
// below the minimum revision. Otherwise it returns an error that matches ErrNotNewer.
func (st *Store) Apply(s *Snapshot) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	lowest := max(st.minRevision, 1)
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
	for watch := range st.watchers {
		sendLatest(watch, s)
	}
	return nil
}

// Watch returns a channel that receives the snapshot in force, if there is one, and
// each later one; a slow receiver gets only the latest. The channel is closed when ctx
// ends.
func (st *Store) Watch(ctx context.Context) <-chan *Snapshot {
	watch := make(chan *Snapshot, 1)
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.watchers == nil {
		st.watchers = map[chan *Snapshot]struct{}{}
	}
	st.watchers[watch] = struct{}{}
	if current := st.current.Load(); current != nil {
		watch <- current
	}
	context.AfterFunc(ctx, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		delete(st.watchers, watch)
		close(watch)
	})
	return watch
}

// sendLatest replaces any older snapshot in a channel of capacity 1 by s. Only the
// holder of Store.mu sends, so the send never blocks.
func sendLatest(watch chan *Snapshot, s *Snapshot) {
	select {
	case <-watch:
	default:
	}
	watch <- s
}
