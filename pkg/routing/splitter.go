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
	best, total := advance(current, r.Backends)
	current[best] -= total
	return r.Backends[best].Service
}

// Peek returns the service that Next would, and counts nothing.
func (s *Splitter) Peek(r *Route) string {
	current := make([]int, len(r.Backends))
	s.mu.Lock()
	if known := s.current[r.Name]; len(known) == len(current) {
		copy(current, known)
	}
	s.mu.Unlock()
	best, _ := advance(current, r.Backends)
	return r.Backends[best].Service
}

// advance adds the weights of the backends to what they have accumulated. It returns the index of
// the backend with the most, and the sum of the weights.
func advance(current []int, backends []Backend) (best, total int) {
	for i, b := range backends {
		current[i] += b.Weight
		total += b.Weight
		if current[i] > current[best] {
			best = i
		}
	}
	return best, total
}
