package routing

import "sync"

// Splitter distributes the requests of split routes by smooth weighted round robin, so
// that even short sequences of requests match the weights. It is safe for concurrent
// use; mu guards the state.
type Splitter struct {
	mu      sync.Mutex
	current map[string][]int // accumulated weight of each backend, by route name
}

// NewSplitter returns an empty Splitter.
func NewSplitter() *Splitter { return &Splitter{current: make(map[string][]int)} }

// Next returns the service for the next request on the route.
func (s *Splitter) Next(r *Route) string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current[r.Name]
	if len(current) != len(r.Backends) {
		current = make([]int, len(r.Backends))
		s.current[r.Name] = current
	}
	best, total := 0, 0
	for i, b := range r.Backends {
		current[i] += b.Weight
		total += b.Weight
		if current[i] > current[best] {
			best = i
		}
	}
	current[best] -= total
	return r.Backends[best].Service
}
