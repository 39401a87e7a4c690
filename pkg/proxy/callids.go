package proxy

import (
	"sync/atomic"

	"corianderwood.example/corianderwood/pkg/ledger"
)

// callIDs gives each attempt of this entrance a new id. An id is sent once, so a
// ledger that holds it tells about exactly one attempt.
type callIDs struct {
	entrance uint64
	counter  atomic.Uint64
}

func (c *callIDs) next() ledger.CallID {
	return ledger.CallID{Origin: c.entrance, Counter: c.counter.Add(1)}
}
