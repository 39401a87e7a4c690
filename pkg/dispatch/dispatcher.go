package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/ingress"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/placement"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/rollout"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Options of an entrance.
type Options struct {
	// Service is the service beside the node.
	Service string
	// Nested reports whether the server beside the node made the request with
	// this id while it ran another one.
	Nested  func(id string) bool
	Headers call.Headers
	// Stopping reports whether the node no longer takes requests of clients,
	// since their responses might not be ready before it ends.
	Stopping func() bool
	// Table returns the configuration in force, nil while none is known.
	Table    func() *routing.Table
	Selector *placement.Selector
	Rollouts *rollout.Tracker
	// Process identifies this start of the node in ledgers.
	Process uint64
	Retries RetryBound
	Metrics *Metrics
}

// Dispatcher answers requests. It is safe for concurrent use.
type Dispatcher struct {
	opts    Options
	head    headEncoder
	split   *routing.Splitter
	budgets *budgets
	log     *decisionLog
	calls   atomic.Uint64
}

// New returns an entrance.
func New(opts Options) *Dispatcher {
	return &Dispatcher{
		opts: opts, head: newHeadEncoder(opts.Headers, opts.Service), split: routing.NewSplitter(),
		budgets: newBudgets(opts.Retries), log: newDecisionLog(),
	}
}

// Malformed records a request that can't be read.
func (e *Dispatcher) Malformed(remote string, err error) {
	e.opts.Metrics.refused(reason.BadRequest)
	e.log.write(event.RequestMalformed, "remote", remote, "err", err)
}

// Serve answers one request.
func (e *Dispatcher) Serve(ctx context.Context, r *ingress.Request) ingress.Response {
	id := r.Header.Get(e.opts.Headers.RequestID)
	table := e.opts.Table()
	if table == nil {
		return e.refuse(id, "", reason.NotReady, notReadyRetryAfter)
	}
	if id == "" {
		return e.reject(id, http.StatusBadRequest, reason.BadRequest)
	}
	route, ok := table.Match(r.Host, r.Path)
	if !ok {
		e.log.write(event.RequestNoRoute, "request", id, "host", r.Host, "path", r.Path, "configuration", table.Version)
		return e.reject(id, http.StatusNotFound, reason.NoRoute)
	}
	x := e.newExchange(table, route, r, id)
	if e.opts.Stopping() && !x.req.Nested {
		return e.refuse(id, route.Name, reason.Draining, stoppingRetryAfter)
	}
	ctx, cancel := context.WithDeadline(ctx, x.req.Deadline)
	defer cancel()
	res := x.run(ctx)
	e.opts.Metrics.answered(route, res.Status, time.Since(r.Received))
	return res
}

func (e *Dispatcher) newExchange(table *routing.Table, route *routing.Route, r *ingress.Request, id string) *exchange {
	deadline := r.Received.Add(route.Timeout)
	if left, ok := deadlineLeft(r.Header.Get(e.opts.Headers.Deadline)); ok && r.Received.Add(left).Before(deadline) {
		deadline = r.Received.Add(left)
	}
	return &exchange{
		entrance: e, table: table, route: route,
		req: call.Request{
			ID: id, Method: r.Method, Head: e.head.encode(r), Body: r.Body, Route: route.Name, Kind: route.Kind,
			Service: e.split.Next(route), Priority: route.Priority, Nested: e.opts.Nested(id),
			Deadline: deadline, SoftDeadline: r.Received.Add(route.TargetLatency),
		},
	}
}

// nextCall identifies one sending of a request that must not run twice.
func (e *Dispatcher) nextCall() ledger.CallID {
	return ledger.CallID{Origin: e.opts.Process, Counter: e.calls.Add(1)}
}

// deadlineLeft reads the client's deadline header.
func deadlineLeft(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// refuse answers that the request has not run and when to come back.
func (e *Dispatcher) refuse(id, route string, why reason.Refusal, after time.Duration) ingress.Response {
	e.opts.Metrics.refused(why)
	after += time.Duration(retryAfterJitter * rand.Float64() * float64(after))
	head := e.ownHead(id)
	head = append(head, "Retry-After: "...)
	head = strconv.AppendFloat(head, after.Seconds(), 'f', 3, 64)
	head = append(head, "\r\n"...)
	e.log.write(event.RequestRefused, "request", id, "route", route, "reason", why, "retryAfter", after)
	return ingress.Response{Status: http.StatusServiceUnavailable, Head: head}
}

func (e *Dispatcher) reject(id string, status int, why reason.Refusal) ingress.Response {
	e.opts.Metrics.refused(why)
	return ingress.Response{Status: status, Head: e.ownHead(id)}
}

// ownHead returns the headers of a response that the node makes itself.
func (e *Dispatcher) ownHead(id string) []byte {
	if id == "" {
		return nil
	}
	return []byte(e.opts.Headers.RequestID + ": " + id + "\r\n")
}
