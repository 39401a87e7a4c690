package rollout

import (
	"maps"
	"sync"
	"time"
)

// Recorder counts the responses of the local server during an order. It is safe for
// concurrent use; mu guards the counts.
type Recorder struct {
	process uint64

	mu      sync.Mutex
	current Evidence
	target  string // version that the order moves the service to
	changed bool
	takenAt time.Time
}

// NewRecorder returns a Recorder for the given process of the node.
func NewRecorder(process uint64) *Recorder { return &Recorder{process: process} }

// Add counts one response of a server incarnation. The counts restart with a new order
// or incarnation.
func (r *Recorder) Add(o Order, version, incarnation, route string, failed bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Order != o.Revision || r.current.Incarnation != incarnation {
		r.current = Evidence{
			Service: o.Service, Order: o.Revision, Version: version, Incarnation: incarnation, Process: r.process,
			Routes: make(map[string]RouteEvidence),
		}
	}
	r.target = o.Target
	e := r.current.Routes[route]
	e.Add(failed, took)
	r.current.Routes[route] = e
	r.changed = true
}

// Take returns the counts and true if they changed since they were last taken. Counts of
// the target are due at once; those of other versions, which most servers of a service
// run and which are only compared with, after controlInterval.
func (r *Recorder) Take(now time.Time) (Evidence, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed || r.current.Version != r.target && now.Sub(r.takenAt) < controlInterval {
		return Evidence{}, false
	}
	r.changed, r.takenAt = false, now
	out := r.current
	out.Routes = maps.Clone(r.current.Routes)
	return out, true
}
