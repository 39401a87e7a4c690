package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/ledger"
)

// runningCalls holds the calls in progress at the peer server. mu guards the map; the
// counters of a call are atomic.
type runningCalls struct {
	mu   sync.Mutex
	byID map[ledger.CallID]*runningCall
}

// runningCall is the progress of one call at the peer server.
type runningCall struct {
	cancel  atomic.Pointer[context.CancelFunc]
	body    atomic.Pointer[trackedReader] // the request body, if any
	written atomic.Int64
	address atomic.Pointer[string] // of the upstream; nil until it is chosen
}

func newRunningCalls() *runningCalls {
	return &runningCalls{byID: make(map[ledger.CallID]*runningCall)}
}

// add records a call; it returns false if a call with the id is already in progress.
func (r *runningCalls) add(id ledger.CallID, call *runningCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.byID[id]; ok {
		return false
	}
	r.byID[id] = call
	return true
}

func (r *runningCalls) remove(id ledger.CallID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

func (r *runningCalls) get(id ledger.CallID) *runningCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// countAt returns the number of calls that are, or may still be, sent to the upstream
// at address.
func (r *runningCalls) countAt(address string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, call := range r.byID {
		if chosen := call.address.Load(); chosen == nil || *chosen == address {
			n++
		}
	}
	return n
}

func (r *runningCalls) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID)
}

// setCancel replaces the function that cancels the call.
func (c *runningCall) setCancel(cancel context.CancelFunc) { c.cancel.Store(&cancel) }

// stop cancels the call.
func (c *runningCall) stop() { (*c.cancel.Load())() }

// bodyStalled reports whether the call waits for its request body, and nothing of the body
// arrives within arrivalGrace. An ingress node that queries the outcome has given up the
// connection that carries the body, so only bytes that were already sent can still arrive.
func (c *runningCall) bodyStalled() bool {
	before := c.progress()
	if !before.AwaitsBody {
		return false
	}
	time.Sleep(arrivalGrace)
	after := c.progress()
	return after.AwaitsBody && after.BodyRead == before.BodyRead
}

func (c *runningCall) progress() progress {
	p := progress{Active: true, Written: c.written.Load()}
	if body := c.body.Load(); body != nil {
		p.BodyRead, p.AwaitsBody = body.count.Load(), body.waiting.Load()
	}
	return p
}
