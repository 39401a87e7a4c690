package node

import (
	"sync"

	"corianderwood.example/corianderwood/pkg/event"
)

// readiness tracks whether the node is ready and logs each change. It is safe for
// concurrent use.
type readiness struct {
	mu               sync.Mutex // guards the fields below
	minRevisionKnown bool
	applied          bool
	leaving          bool
	logged           string
}

// Reasons why a node is not ready.
const (
	reasonMinRevision = "the minimum revision that this instance may serve is not known; the platform or the replicas of the minimum revision must respond"
	reasonApplied     = "no configuration revision is in force yet"
	reasonLeaving     = "the node is stopping"
)

func (r *readiness) set(change func(*readiness)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
	reason := r.reason()
	if reason == r.logged {
		return
	}
	r.logged = reason
	if reason == "" {
		event.NodeReady.Log()
		return
	}
	event.NodeNotReady.Log("reason", reason)
}

// Reason returns why the node is not ready, or "" if it is ready.
func (r *readiness) Reason() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason()
}

func (r *readiness) reason() string {
	switch {
	case r.leaving:
		return reasonLeaving
	case !r.minRevisionKnown:
		return reasonMinRevision
	case !r.applied:
		return reasonApplied
	default:
		return ""
	}
}
