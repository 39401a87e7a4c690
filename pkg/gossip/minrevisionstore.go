package gossip

import "time"

// keptFloor is the floor of another instance, kept for it.
type keptFloor struct {
	revision uint64
	at       time.Time
}

// floorStore holds the floors of instances that chose this node as keeper.
type floorStore struct {
	byInstance map[string]keptFloor
}

// put raises the floor of an instance; a floor never falls.
func (f *floorStore) put(now time.Time, instance string, revision uint64) uint64 {
	old, ok := f.byInstance[instance]
	if !ok && len(f.byInstance) >= MaxMinRevisions {
		f.removeOldest()
	}
	revision = max(revision, old.revision)
	f.byInstance[instance] = keptFloor{revision, now}
	return revision
}

func (f *floorStore) removeOldest() {
	oldest, at := "", time.Time{}
	for name, k := range f.byInstance {
		if oldest == "" || k.at.Before(at) {
			oldest, at = name, k.at
		}
	}
	delete(f.byInstance, oldest)
}

func (f *floorStore) clean(now time.Time) {
	for name, k := range f.byInstance {
		if now.Sub(k.at) > MinRevisionTTL {
			delete(f.byInstance, name)
		}
	}
}
