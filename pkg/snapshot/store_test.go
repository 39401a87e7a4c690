package snapshot

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var fixedTime = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

// Guards against a store that applies a lower revision than before, or after a restart
// one below the minimum revision.
func TestStoreIsMonotonic(t *testing.T) {
	st := NewStore()
	if st.Current() != nil {
		t.Error("an empty store has a snapshot")
	}
	st.RaiseMinRevision(5)
	st.RaiseMinRevision(2)
	for _, step := range []struct {
		revision uint64
		ok       bool
	}{{4, false}, {5, true}, {5, false}, {3, false}, {9, true}, {8, false}} {
		err := st.Apply(build(t, step.revision))
		if (err == nil) != step.ok || err != nil && !errors.Is(err, ErrNotNewer) {
			t.Errorf("revision %d: %v, want ok %v", step.revision, err, step.ok)
		}
	}
	if got := st.Current().Revision(); got != 9 {
		t.Errorf("revision %d, want 9", got)
	}
	var zero Store
	if err := zero.Apply(build(t, 0)); !errors.Is(err, ErrNotNewer) {
		t.Errorf("revision 0: %v", err)
	}
}

// Guards against a watch that blocks Apply, misses the latest snapshot or leaks.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		early := st.Watch(ctx)
		for r := range uint64(3) {
			if err := st.Apply(build(t, r+1)); err != nil {
				t.Fatal(err)
			}
		}
		late := st.Watch(ctx)
		for name, watch := range map[string]<-chan *Snapshot{"early": early, "late": late} {
			if got := (<-watch).Revision(); got != 3 {
				t.Errorf("%s watch: revision %d, want 3", name, got)
			}
		}
		cancel()
		synctest.Wait()
		if _, open := <-early; open || len(st.watchers) != 0 {
			t.Errorf("the watch is open: %v, watches: %d", open, len(st.watchers))
		}
		if err := st.Apply(build(t, 4)); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a reader that observes a lower revision than before while several
// goroutines apply snapshots in any order.
func TestProofStoreNeverGoesBack(t *testing.T) {
	st := NewStore()
	snapshots := make([]*Snapshot, 200)
	for i := range snapshots {
		snapshots[i] = build(t, uint64(i+1))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var writers, readers sync.WaitGroup
	for w := range 4 {
		writers.Go(func() {
			for i := range snapshots {
				_ = st.Apply(snapshots[(i*7+w*50)%len(snapshots)]) // older ones are rejected
			}
		})
	}
	for range 4 {
		watch := st.Watch(ctx)
		readers.Go(func() {
			last := uint64(0)
			for s := range watch {
				now := st.Current().Revision()
				if s.Revision() <= last || now < s.Revision() {
					t.Errorf("revision %d after %d, in force %d", s.Revision(), last, now)
				}
				last = s.Revision()
			}
			if last != uint64(len(snapshots)) {
				t.Errorf("the watch ended at revision %d", last)
			}
		})
	}
	writers.Wait()
	cancel()
	readers.Wait()
	if got := st.Current().Revision(); got != uint64(len(snapshots)) {
		t.Errorf("revision %d in force", got)
	}
}
