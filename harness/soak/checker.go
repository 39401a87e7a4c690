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
	order
	sent    time.Time // when the client began to send the request for the first time
	counted bool      // as a request of the limited account
	// statuses holds the status with which the server responds to each execution, or
	// noResponse. Executions are numbered from 1 in the order in which they start.
	statuses []int
	sendings int
	// before is the number of executions that had started when the client last began to send
	// the request.
	before  int
	refused bool // got a status that guarantees that it was not executed
}

// Checker records the events that clients and servers observe and detects violated
// guarantees. It is safe for concurrent use; mu guards the state.
type Checker struct {
	mu         sync.Mutex
	requests   map[string]*requestState // by request id
	violations []string
	counts     map[string]int
	keys       map[string]*keyState // of the account without a limit
	// evacuations holds the confirmation of the evacuations, by failure domain.
	evacuations map[string]time.Time
	windows     map[string]*window
}

// NewChecker returns a checker without records.
func NewChecker() *Checker {
	return &Checker{
		requests: make(map[string]*requestState), counts: make(map[string]int), keys: make(map[string]*keyState),
		evacuations: make(map[string]time.Time), windows: make(map[string]*window),
	}
}

// Violationf records a violated guarantee.
func (c *Checker) Violationf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

func (c *Checker) addViolation(format string, args ...any) {
	const maxViolations = 20
	c.counts["violations"]++
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
// unsafe request must be executed at most once. The request needs no key.
func (c *Checker) OnSent(id string, unsafe bool) {
	c.OnOrder(id, order{unsafe: unsafe, public: true})
}

// OnOrder is like OnSent for a request that may need a key.
func (c *Checker) OnOrder(id string, o order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &requestState{order: o, sent: time.Now()}
}

// OnSending records that a client begins to send a request on a connection. An HTTP client
// repeats a safe request by itself if its connection breaks. OnSent must have been called
// with the id.
func (c *Checker) OnSending(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	r.sendings++
	r.before = len(r.statuses)
	if r.sendings > 1 {
		c.counts["sent again"]++
	}
}

// OnStart records that a server starts to execute a request, and the status with which it
// will respond, or noResponse. It returns the number of the execution.
func (c *Checker) OnStart(id, server string, status int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.requests[id]
	if !ok {
		c.addViolation("server %s executes request %q, which no client sent", server, id)
		return 0
	}
	c.checkScarce(r)
	r.statuses = append(r.statuses, status)
	executions := len(r.statuses)
	if r.unsafe && executions > 1 {
		c.addViolation("request %s must be executed at most once, but was executed %d times, last by %s", id, executions, server)
	}
	if r.unsafe && r.refused {
		c.addViolation("request %s was refused as not executed, but is executed by %s", id, server)
	}
	return executions
}

// OnResponse records a server's response that a client received, and the number of the
// execution that the response names. The execution must have started after the client
// last began to send the request: the client no longer reads the connections on which it
// sent the request before, so the response to an earlier sending can only be a copy. The
// node may try several servers for one sending, so any execution since then may be named.
// OnSent must have been called with the id.
func (c *Checker) OnResponse(id string, status, execution int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	switch {
	case execution < 1 || execution > len(r.statuses) || r.statuses[execution-1] != status:
		c.addViolation("request %s got status %d of execution %d, but the statuses of its executions are %v", id, status, execution, r.statuses)
	case execution <= r.before:
		c.addViolation("request %s got status %d of execution %d, but was sent again after its start; the executions since then have the statuses %v",
			id, status, execution, r.statuses[r.before:])
	}
}

// OnRefusal records a status that guarantees that the request was not and will
// not be executed. OnSent must have been called with the id.
func (c *Checker) OnRefusal(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	r.refused = true
	if r.unsafe && len(r.statuses) > 0 {
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
	if len(c.requests[id].statuses) > 0 {
		c.addViolation("request %s was executed, but %s closed the connection without a response: %v", id, node, err)
	}
}

// Report returns the violations, at most the first 20, and the counts of the outcomes of
// requests, of requests sent again, of copied and spoiled responses, and of all violations.
func (c *Checker) Report() ([]string, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations, c.counts
}
