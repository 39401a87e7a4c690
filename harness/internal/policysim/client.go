package policysim

import (
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/balance"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/retry"
)

// Client calls one service, as an ingress node or as a server that calls another service.
type Client struct {
	Loop     *Loop
	Balancer *balance.Balancer
	Retry    Retrier
	Service  string
	Servers  map[string]*Server // by instance
	// Delay returns the one-way network delay to a server.
	Delay func(*Server) time.Duration
	// AttemptTimeout bounds one attempt; 0 means that only the call's deadline applies.
	AttemptTimeout time.Duration
	// NoHopMargin gives attempts the whole remaining time of the call, without keeping
	// back retry.HopMargin.
	NoHopMargin bool
	// NoCancellation lets servers continue with abandoned attempts, as happens with
	// callers whose cancellation does not reach the server.
	NoCancellation bool
	// OnAttemptEnd, if set, is called when an attempt ends with a response or a timeout.
	// Refused attempts count as failed.
	OnAttemptEnd func(s *Server, latency time.Duration, failed bool)

	// FirstAttempts and Retries count attempts.
	FirstAttempts, Retries int
}

// call is one call in progress.
type call struct {
	client   *Client
	deadline time.Time
	done     func(Response)
	attempt  int
	tried    map[string]bool // instances of earlier attempts
	stop     func()          // cancels the running attempt or the wait for a retry
}

// Call sends a repeatable call. It calls done once with the final response, unless the
// call is canceled first.
func (c *Client) Call(deadline time.Time, done func(Response)) (cancel func()) {
	k := &call{client: c, deadline: deadline, done: done, tried: make(map[string]bool)}
	c.FirstAttempts++
	c.Retry.FirstAttemptAt(c.Loop.Now())
	k.send()
	return func() { k.stop() }
}

func (k *call) send() {
	c := k.client
	now := c.Loop.Now()
	k.attempt++
	e, ok := c.Balancer.Pick(now, c.Service, "", k.tried)
	if !ok {
		k.handleFailure(retry.Outcome{Status: http.StatusServiceUnavailable, Ran: reason.RanNo, Repeatable: true})
		return
	}
	k.tried[e.Instance] = true
	c.Balancer.Start(now, e)
	server := c.Servers[e.Instance]
	limit := retry.AttemptDeadline(now, k.deadline, c.AttemptTimeout)
	if c.NoHopMargin {
		limit = retry.AttemptDeadline(now, k.deadline.Add(retry.HopMargin), c.AttemptTimeout)
	}
	a := &attempt{call: k, endpoint: e, server: server, started: now}
	delay := c.Delay(server)
	stopArrival := c.Loop.After(delay, func() {
		a.abort = server.Serve(limit, func(r Response) {
			a.stopReply = c.Loop.After(delay, func() { a.onResponse(r) })
		})
	})
	stopTimer := c.Loop.After(limit.Sub(now), a.onTimeout)
	a.stop = func() {
		stopTimer()
		stopArrival()
		if a.stopReply != nil {
			a.stopReply()
		}
		if a.abort != nil && !c.NoCancellation {
			c.Loop.After(delay, a.abort)
		}
	}
	k.stop = func() {
		a.stop()
		c.Balancer.Observe(c.Loop.Now(), e, balance.Result{Aborted: true})
	}
}

// attempt is one running attempt.
type attempt struct {
	call      *call
	endpoint  balance.Endpoint
	server    *Server
	started   time.Time
	stop      func() // ends the attempt at the client and cancels it at the server
	abort     func() // cancels the call at the server; nil before its arrival and after the response
	stopReply func() // discards the response on its way to the client
}

func (a *attempt) onResponse(r Response) {
	a.abort = nil
	a.stop()
	// A spent response reports a failure further downstream, not of this server.
	failed := r.Status >= http.StatusInternalServerError && r.Ran != reason.RanNo && !r.Spent
	a.report(balance.Result{Failed: failed, NotRun: r.Ran == reason.RanNo, Load: &r.Load})
	if r.Status < http.StatusBadRequest {
		a.call.done(r)
		return
	}
	a.call.handleFailure(retry.Outcome{Status: r.Status, Ran: r.Ran, Spent: r.Spent, Repeatable: true})
}

func (a *attempt) onTimeout() {
	a.stop()
	a.report(balance.Result{Failed: true})
	a.call.handleFailure(retry.Outcome{TimedOut: true, Repeatable: true})
}

func (a *attempt) report(r balance.Result) {
	c := a.call.client
	r.Latency = c.Loop.Now().Sub(a.started)
	c.Balancer.Observe(c.Loop.Now(), a.endpoint, r)
	if c.OnAttemptEnd != nil {
		c.OnAttemptEnd(a.server, r.Latency, r.Failed || r.NotRun)
	}
}

// handleFailure retries the call after a failed attempt, or ends it with an error response.
// That response always has RanYes, because receivers of final responses use only Status and
// Spent.
func (k *call) handleFailure(o retry.Outcome) {
	c := k.client
	now := c.Loop.Now()
	d := c.Retry.Decide(now, k.deadline, k.attempt, retry.Classify(o), retry.HopMargin)
	if d.Retry {
		c.Retries++
		k.stop = c.Loop.After(d.Wait, k.send)
		return
	}
	k.stop = func() {}
	status := o.Status
	if o.TimedOut {
		status = http.StatusGatewayTimeout
	}
	k.done(Response{Status: status, Ran: reason.RanYes, Spent: o.Spent || d.Refused != ""})
}
