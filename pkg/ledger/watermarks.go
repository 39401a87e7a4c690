package ledger

import "time"

// watermarks holds, per origin of call ids, the highest counter whose entry has been
// removed. An id at or below it may have been recorded before, so it is neither
// admitted nor reported as not run by a query. Counters only grow, so this affects only
// ids as old as a removed entry. The ledger's mutex guards it.
type watermarks struct {
	byOrigin map[uint64]watermark
}

type watermark struct {
	counter uint64
	raised  time.Time
}

func newWatermarks() watermarks { return watermarks{byOrigin: make(map[uint64]watermark)} }

func (f *watermarks) covers(id CallID) bool {
	at, ok := f.byOrigin[id.Origin]
	return ok && id.Counter <= at.counter
}

// hasRoom reports whether ids of the origin may be recorded: the origin has a watermark,
// or there are fewer than maxWatermarks.
func (f *watermarks) hasRoom(origin uint64) bool {
	if len(f.byOrigin) < maxWatermarks {
		return true
	}
	_, ok := f.byOrigin[origin]
	return ok
}

func (f *watermarks) raise(now time.Time, id CallID) {
	at := f.byOrigin[id.Origin]
	at.counter = max(at.counter, id.Counter)
	at.raised = now
	f.byOrigin[id.Origin] = at
}

// evict removes the marks that have not been raised for watermarkTTL. By then the
// peer listener has closed every connection that could carry a covered id.
func (f *watermarks) evict(now time.Time) {
	for origin, at := range f.byOrigin {
		if now.Sub(at.raised) > watermarkTTL {
			delete(f.byOrigin, origin)
		}
	}
}
