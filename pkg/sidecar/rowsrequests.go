package sidecar

import (
	"sync"

	"corianderwood.example/corianderwood/pkg/link"
)

// rowsRequestKey identifies a pending request for rows of a table.
type rowsRequestKey struct {
	table      string
	sameDomain bool // the peer is in the same failure domain
}

// announcement is the version of a table that a peer has announced on a link.
type announcement struct {
	link    *link.Link
	version uint64
}

// rowsRequests holds, for each request for rows that waits for rowsDelay, the newest
// announcement that calls for it. It is safe for concurrent use; mu guards the map.
type rowsRequests struct {
	mu     sync.Mutex
	newest map[rowsRequestKey]announcement
	// inForce is the version of the configuration that the peer of the newest announcement has in
	// force.
	inForce map[rowsRequestKey]uint64
}

func newRowsRequests() *rowsRequests {
	return &rowsRequests{newest: make(map[rowsRequestKey]announcement), inForce: make(map[rowsRequestKey]uint64)}
}

// add stores an announcement and reports whether no request with the key was pending. In
// that case the caller must call take after the delay.
func (r *rowsRequests) add(key rowsRequestKey, a announcement) bool { return r.addInForce(key, a, 0) }

// addInForce is add for a peer that has the given version of the configuration in force. Of two
// peers with the same version of the table, that with the newer configuration is asked.
func (r *rowsRequests) addInForce(key rowsRequestKey, a announcement, configuration uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, pending := r.newest[key]
	if !pending || a.version > known.version || a.version == known.version && configuration > r.inForce[key] {
		r.newest[key], r.inForce[key] = a, configuration
	}
	return !pending
}

// take ends a pending request and returns its newest announcement.
func (r *rowsRequests) take(key rowsRequestKey) announcement {
	a, _ := r.takeInForce(key)
	return a
}

// takeInForce is take; the second result is the version of the configuration that the peer has in
// force.
func (r *rowsRequests) takeInForce(key rowsRequestKey) (announcement, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, configuration := r.newest[key], r.inForce[key]
	delete(r.newest, key)
	delete(r.inForce, key)
	return a, configuration
}
