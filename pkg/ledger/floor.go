package ledger

import "time"

// floors hold, per entrance incarnation, the highest counter whose entry has been
// removed. An id at or below it may have been recorded, so it is neither admitted
// nor reported as not run. Counters grow, so only ids as old as a removed entry
// are affected. The ledger's mutex guards it.
type floors struct {
	byEntrance map[uint64]floor
}

type floor struct {
	counter uint64
	raised  time.Time
}

func newFloors() floors { return floors{byEntrance: make(map[uint64]floor)} }

func (f *floors) covers(id CallID) bool {
	at, ok := f.byEntrance[id.Origin]
	return ok && id.Counter <= at.counter
}

// room reports whether a floor for the entrance exists or could be added.
func (f *floors) room(entrance uint64) bool {
	if len(f.byEntrance) < maxFloors {
		return true
	}
	_, ok := f.byEntrance[entrance]
	return ok
}

func (f *floors) raise(now time.Time, id CallID) {
	at := f.byEntrance[id.Origin]
	at.counter = max(at.counter, id.Counter)
	at.raised = now
	f.byEntrance[id.Origin] = at
}

// forget removes the floors that have not been raised for floorKeep. By then the
// peer listener has closed every connection that could carry a covered id.
func (f *floors) forget(now time.Time) {
	for entrance, at := range f.byEntrance {
		if now.Sub(at.raised) > floorKeep {
			delete(f.byEntrance, entrance)
		}
	}
}
