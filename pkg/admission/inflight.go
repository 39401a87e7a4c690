package admission

import "sync"

// InFlight is the set of IDs of the requests that the local server is running. It is
// safe for concurrent use; mu guards the map.
type InFlight struct {
	mu  sync.Mutex
	ids map[string]int
}

// NewInFlight returns an empty set.
func NewInFlight() *InFlight { return &InFlight{ids: make(map[string]int)} }

// Contains reports whether a request with the ID is running.
func (p *InFlight) Contains(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ids[id] > 0
}

func (p *InFlight) add(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids[id]++
}

func (p *InFlight) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ids[id]--; p.ids[id] <= 0 {
		delete(p.ids, id)
	}
}
