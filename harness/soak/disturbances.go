package soak

import (
	"sync"
	"time"
)

// everywhere is the name under which disturbances of all nodes are recorded.
const everywhere = ""

// disturbances records when nodes could not follow the store or their peers. It is safe for
// concurrent use; mu guards the state, by node.
type disturbances struct {
	mu     sync.Mutex
	active map[string]int
	ended  map[string]time.Time
}

func newDisturbances() *disturbances {
	return &disturbances{active: make(map[string]int), ended: make(map[string]time.Time)}
}

// begin records a disturbance of nodes. The returned function calls end and records its end.
func (d *disturbances) begin(end func(), nodes ...string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range nodes {
		d.active[n]++
	}
	return func() {
		end()
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, n := range nodes {
			d.active[n]--
			d.ended[n] = time.Now()
		}
	}
}

// calmSince returns since when a node has not been disturbed; ok is false if it is disturbed now.
func (d *disturbances) calmSince(node string) (since time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since = d.ended[node]
	if e := d.ended[everywhere]; e.After(since) {
		since = e
	}
	return since, d.active[node]+d.active[everywhere] == 0
}
