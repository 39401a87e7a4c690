package soak

import (
	"fmt"
	"sync"
	"time"
)

// drainBound is how long after its acknowledged leave a server may get requests.
const drainBound = 2 * time.Second

// run is what became of one client attempt.
type run struct {
	unsafe  bool
	runs    int
	refused bool // answered with a status that promises that it has not run
}

// Checker records what clients and servers see and finds broken promises. It is safe
// for concurrent use; mu guards the state.
type Checker struct {
	mu     sync.Mutex
	runs   map[string]*run
	broken []string
	counts map[string]int
}

// NewChecker returns a checker without records.
func NewChecker() *Checker {
	return &Checker{runs: make(map[string]*run), counts: make(map[string]int)}
}

// Broken records a broken promise.
func (c *Checker) Broken(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(format, args...)
}

func (c *Checker) fail(format string, args ...any) {
	const most = 20
	if len(c.broken) < most {
		c.broken = append(c.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// Count counts an outcome for the report.
func (c *Checker) Count(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome]++
}

// Sent records a client attempt before it is sent.
func (c *Checker) Sent(id string, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = &run{unsafe: unsafe}
}

// Ran records that a server starts a request.
func (c *Checker) Ran(id, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.runs[id]
	if !ok {
		c.fail("server %s runs %q, which no client sent", server, id)
		return
	}
	r.runs++
	if r.unsafe && r.runs > 1 {
		c.fail("%s must not repeat and runs %d times, now at %s", id, r.runs, server)
	}
	if r.unsafe && r.refused {
		c.fail("%s was refused as not run and runs at %s", id, server)
	}
}

// Refused records a status that promises that the request has not run and won't.
func (c *Checker) Refused(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[id]
	r.refused = true
	if r.unsafe && r.runs > 0 {
		c.fail("%s has run and is refused with %d", id, status)
	}
}

// Lost records a connection that ended without an answer although its node was neither
// killed nor paused. A request that no server ran may have crossed the end of an idle
// connection.
func (c *Checker) Lost(id, node string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[id].runs > 0 {
		c.fail("%s ran and %s ended its connection without an answer: %v", id, node, err)
	}
}

// Report returns the broken promises and the counts of outcomes.
func (c *Checker) Report() ([]string, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken, c.counts
}
