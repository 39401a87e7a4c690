package admission

import "sync"

// InProgress holds the ids of the requests that the server beside the node runs.
// It is safe for concurrent use; mu guards the map.
type InProgress struct {
	mu  sync.Mutex
	ids map[string]int
}

// NewInProgress returns an empty set.
func NewInProgress() *InProgress { return &InProgress{ids: make(map[string]int)} }

// Contains reports whether a request with the id runs.
func (p *InProgress) Contains(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ids[id] > 0
}

func (p *InProgress) add(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids[id]++
}

func (p *InProgress) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ids[id]--; p.ids[id] <= 0 {
		delete(p.ids, id)
	}
}
