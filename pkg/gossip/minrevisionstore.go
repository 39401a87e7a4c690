package gossip

import "time"

// storedMinRevision is the minimum revision of another instance, stored on its behalf.
type storedMinRevision struct {
	revision uint64
	at       time.Time
}

// minRevisionStore holds the minimum revisions of the instances for which this node is a
// replica.
type minRevisionStore struct {
	byInstance map[string]storedMinRevision
}

// put stores the minimum revision of an instance and returns the stored one, which is
// never lower than before.
func (f *minRevisionStore) put(now time.Time, instance string, revision uint64) uint64 {
	old, ok := f.byInstance[instance]
	if !ok && len(f.byInstance) >= MaxMinRevisions {
		f.removeOldest()
	}
	revision = max(revision, old.revision)
	f.byInstance[instance] = storedMinRevision{revision, now}
	return revision
}

func (f *minRevisionStore) removeOldest() {
	oldest, at := "", time.Time{}
	for name, k := range f.byInstance {
		if oldest == "" || k.at.Before(at) {
			oldest, at = name, k.at
		}
	}
	delete(f.byInstance, oldest)
}

func (f *minRevisionStore) clean(now time.Time) {
	for name, k := range f.byInstance {
		if now.Sub(k.at) > MinRevisionTTL {
			delete(f.byInstance, name)
		}
	}
}
