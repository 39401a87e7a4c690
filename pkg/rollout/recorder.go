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
	changed bool
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
	e := r.current.Routes[route]
	e.Add(failed, took)
	r.current.Routes[route] = e
	r.changed = true
}

// Take returns the counts and true if they changed since the last call.
func (r *Recorder) Take() (Evidence, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed {
		return Evidence{}, false
	}
	r.changed = false
	out := r.current
	out.Routes = maps.Clone(r.current.Routes)
	return out, true
}
