package fake

import (
	"maps"
	"math/rand/v2"
	"sync"
)

// executions counts executions per request id and supplies random numbers. mu guards the
// fields.
type executions struct {
	mu   sync.Mutex
	byID map[string]int
	rnd  *rand.Rand
}

func (e *executions) init(seed uint64) {
	e.byID = make(map[string]int)
	e.rnd = rand.New(rand.NewPCG(seed, 17))
}

func (e *executions) add(id string) {
	if id == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byID[id]++
}

func (e *executions) snapshot() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.byID)
}

// randomFloat returns a random number in [0, 1).
func (e *executions) randomFloat() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rnd.Float64()
}
