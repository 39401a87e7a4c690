package proxy

import (
	"sync/atomic"

	"corianderwood.example/corianderwood/pkg/ledger"
)

// callIDs gives each attempt of this process a new id. Each id is sent only once, so
// that a ledger entry describes exactly one attempt.
type callIDs struct {
	origin  uint64
	counter atomic.Uint64
}

func (c *callIDs) next() ledger.CallID {
	return ledger.CallID{Origin: c.origin, Counter: c.counter.Add(1)}
}
