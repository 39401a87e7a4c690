package soak

import (
	"fmt"
	"sync"
	"time"
)

// drainGrace is how long a server may still receive requests after its node has
// acknowledged that it is draining.
const drainGrace = 2 * time.Second

// requestState is what is known of one client request.
type requestState struct {
	unsafe     bool
	executions int
	refused    bool // got a status that guarantees that it was not executed
}

// Checker records the events that clients and servers observe and detects violated
// guarantees. It is safe for concurrent use; mu guards the state.
type Checker struct {
	mu         sync.Mutex
	requests   map[string]*requestState // by request id
	violations []string
	counts     map[string]int
}

// NewChecker returns a checker without records.
func NewChecker() *Checker {
	return &Checker{requests: make(map[string]*requestState), counts: make(map[string]int)}
}

// Violationf records a violated guarantee.
func (c *Checker) Violationf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

func (c *Checker) addViolation(format string, args ...any) {
	const maxViolations = 20
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// Count counts an outcome for the report.
func (c *Checker) Count(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome]++
}

// OnSent registers a client request; it is called before the request is sent. An
// unsafe request must be executed at most once.
func (c *Checker) OnSent(id string, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &requestState{unsafe: unsafe}
}

// OnStart records that a server starts to execute a request.
func (c *Checker) OnStart(id, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.requests[id]
	if !ok {
		c.addViolation("server %s executes request %q, which no client sent", server, id)
		return
	}
	r.executions++
	if r.unsafe && r.executions > 1 {
		c.addViolation("request %s must be executed at most once, but was executed %d times, last by %s", id, r.executions, server)
	}
	if r.unsafe && r.refused {
		c.addViolation("request %s was refused as not executed, but is executed by %s", id, server)
	}
}

// OnRefusal records a status that guarantees that the request was not and will
// not be executed. OnSent must have been called with the id.
func (c *Checker) OnRefusal(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	r.refused = true
	if r.unsafe && r.executions > 0 {
		c.addViolation("request %s was executed, but refused with status %d", id, status)
	}
}

// OnLoss records a connection that ended without a response although its node was
// neither killed nor paused. This is a violation only if a server executed the
// request: the node may close an idle connection while a request is on its way. OnSent
// must have been called with the id.
func (c *Checker) OnLoss(id, node string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[id].executions > 0 {
		c.addViolation("request %s was executed, but %s closed the connection without a response: %v", id, node, err)
	}
}

// Report returns the violations, at most the first 20, and the number of requests
// by outcome.
func (c *Checker) Report() ([]string, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations, c.counts
}
