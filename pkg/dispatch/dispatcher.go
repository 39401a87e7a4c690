package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"net/url"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/ingress"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/placement"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/rollout"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Options configures a Dispatcher.
type Options struct {
	// Service is the service of the local server.
	Service string
	// Nested reports whether the local server sent the request with this ID while it
	// was running another request.
	Nested func(id string) bool
	// NestedID reports whether the id has the form that servers give to such requests.
	NestedID func(id string) bool
	Headers  call.Headers
	// Stopping reports whether the node no longer accepts requests of clients, because
	// it may stop before their responses are ready.
	Stopping func() bool
	// Table returns the configuration in force, or nil if none was received yet.
	Table func() *routing.Table
	// Fresh reports whether the table that Table returns from now on is current enough to
	// accept keys of accounts. With nil, every table is.
	Fresh    func() bool
	Selector *placement.Selector
	Rollouts *rollout.Tracker
	// Process identifies this start of the node in ledgers.
	Process uint64
	Retries RetryBound
	Metrics *Metrics
	// Limiter enforces the limits of accounts; nil means that there are none.
	Limiter AccountLimiter
	// Accounts counts the requests of accounts; it may be nil.
	Accounts AccountObserver
	// Memory limits what the process holds for others. A request does not start while it is
	// exhausted. It may be nil.
	Memory *boundedio.Budget
}

// Dispatcher handles requests. It is safe for concurrent use.
type Dispatcher struct {
	opts     Options
	head     headEncoder
	splitter *routing.Splitter
	budgets  *budgets
	returns  *returnTimes
	usual    *usualDeadlines
	recent   *recentIDs // for logs and metrics
	once     *recentIDs // requests that must not run twice and that may have run
	log      *event.LimitedLog
	calls    atomic.Uint64
}

// New returns a Dispatcher with the given options.
func New(opts Options) *Dispatcher {
	if opts.NestedID == nil {
		opts.NestedID = func(string) bool { return false }
	}
	return &Dispatcher{
		opts: opts, head: newHeadEncoder(opts.Headers, opts.Service), splitter: routing.NewSplitter(),
		budgets: newBudgets(opts.Retries), returns: newReturnTimes(), usual: newUsualDeadlines(), recent: newRecentIDs(maxRecentIDs), once: newRecentIDs(maxOnceIDs),
		log: event.NewLimitedLog(decisionLogRate, decisionLogBurst),
	}
}

// Malformed records a request that could not be parsed. The text of the error is not logged,
// because it may quote a header line with a key.
func (d *Dispatcher) Malformed(remote string, err error) {
	why := reason.BadRequest
	if errors.Is(err, boundedio.ErrBudgetExhausted) {
		why = reason.Memory
	}
	d.opts.Metrics.refused(why)
	d.log.Write(event.RequestMalformed, "remote", remote, "fault", malformedPart(err))
}

// malformedPart names what is wrong with a request that could not be parsed.
func malformedPart(err error) string {
	var protocol textproto.ProtocolError
	var target *url.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "incomplete in time"
	case errors.Is(err, boundedio.ErrBudgetExhausted):
		return "no memory for the body"
	case errors.Is(err, boundedio.ErrBodyTooLarge):
		return "body too large"
	case errors.Is(err, boundedio.ErrHeaderTooLarge):
		return "header too large"
	case errors.As(err, &protocol):
		return "header line"
	case errors.As(err, &target):
		return "request target"
	}
	return "not HTTP"
}

// Serve handles one request and returns its response.
func (d *Dispatcher) Serve(ctx context.Context, r *ingress.Request) (res ingress.Response) {
	id := r.Header.Get(d.opts.Headers.RequestID)
	defer contain.Recover(contain.ClientRequest, func(error) {
		d.opts.Metrics.refused(reason.OutcomeUnknown) // the request may have been sent
		res = ingress.Response{Status: http.StatusBadGateway, Head: d.localHeaders(id)}
	})
	fresh := d.opts.Fresh == nil || d.opts.Fresh() // before the table is read: a later one is current too
	table := d.opts.Table()
	if table == nil {
		return d.refuse(id, "", reason.NotReady, notReadyRetryAfter)
	}
	if id == "" {
		return d.reject(id, http.StatusBadRequest, reason.BadRequest)
	}
	route, ok := table.Match(r.Host, r.Path)
	if !ok {
		d.log.Write(event.RequestNoRoute, "request", id, "hostBytes", len(r.Host), "pathBytes", len(r.Path), "configuration", table.Version)
		return d.reject(id, RefusalStatus(reason.NoRoute), reason.NoRoute)
	}
	nested := d.opts.Nested(id)
	auth := authenticate(credentials{
		accounts: table.Accounts, public: route.Public, nested: nested, nestedID: table.Accounts != nil && d.opts.NestedID(id),
		fresh: fresh, authorization: r.Header[authorizationHeader],
	})
	if auth.refusal != "" {
		return d.refuseKey(id, route.Name, table, auth)
	}
	if auth.account != nil {
		r.SetAccount(&auth.account.Name)
		if d.opts.Accounts != nil {
			d.opts.Accounts.Received(r.Received, auth.account.Name)
		}
	}
	if age, repeated := d.recent.receive(r.Received, id); repeated {
		d.opts.Metrics.repeatedIDs.Inc()
		d.log.Write(event.RequestIDRepeated, "request", id, "route", route.Name, "age", age)
	}
	if d.opts.Memory != nil && d.opts.Memory.AwaitRoom(r.Held) != nil {
		d.accountRefused(auth.account, reason.Memory)
		res := d.refuse(id, route.Name, reason.Memory, memoryRetryAfter)
		res.Close = true // the rest of a crowd's pipelined requests would come next
		return res
	}
	x := d.newExchange(table, route, r, id, nested, auth.account)
	if d.opts.Stopping() && !x.req.Nested {
		d.accountRefused(auth.account, reason.Draining)
		return d.refuse(id, route.Name, reason.Draining, stoppingRetryAfter)
	}
	if !route.Kind.Idempotent() {
		if _, repeated := d.once.receive(r.Received, id); repeated {
			return x.failWith(http.StatusBadGateway, reason.RepeatedID)
		}
		defer x.forgetUnlessRan()
	}
	ctx, cancel := context.WithDeadline(ctx, x.req.Deadline)
	defer cancel()
	res = x.runWithin(ctx)
	if res.Status == http.StatusTooManyRequests || res.Status >= http.StatusInternalServerError {
		d.usual.refused(time.Now(), route.Name)
	}
	d.opts.Metrics.responded(route, res.Status, time.Since(r.Received))
	return res
}

// refuseKey returns the response to a request that authenticate refuses.
func (d *Dispatcher) refuseKey(id, route string, table *routing.Table, auth authentication) ingress.Response {
	switch auth.refusal {
	case reason.ParentUnknown:
		return d.refuse(id, route, auth.refusal, parentUnknownRetryAfter)
	case reason.StaleConfig:
		return d.refuse(id, route, auth.refusal, staleRetryAfter)
	}
	d.log.Write(event.RequestUnauthenticated, "request", id, "route", route, "key", string(auth.fault), "configuration", table.Version)
	res := d.reject(id, RefusalStatus(auth.refusal), auth.refusal)
	res.Head = append(res.Head, "WWW-Authenticate: "+bearerScheme+"\r\n"...)
	return res
}

func (d *Dispatcher) newExchange(table *routing.Table, route *routing.Route, r *ingress.Request, id string, nested bool, a *account.Account) *exchange {
	req, clientDeadline, returning := newRequest(route, r.Received, a, nested), r.Received.Add(maxDeadline), false
	if left, ok := parseDeadline(r.Header.Get(d.opts.Headers.Deadline)); ok {
		clientDeadline = r.Received.Add(left)
		if !nested { // calls of a server have the deadline of the request that makes them
			d.usual.configure(table)
			elapsed := d.usual.elapsed(r.Received, route.Name, left)
			req.SoftDeadline, returning = req.SoftDeadline.Add(-elapsed), elapsed > 0
		}
	}
	if clientDeadline.Before(req.Deadline) {
		req.Deadline = clientDeadline
	}
	req.ID, req.Method, req.Head, req.Body, req.Service = id, r.Method, d.head.encode(r, table, a), r.Body, d.splitter.Next(route)
	return &exchange{
		dispatcher: d, table: table, route: route, account: a, clientDeadline: clientDeadline, returning: returning, req: req,
	}
}

// newRequest returns a request with what follows from its route and its account. The deadline is that
// of a client that names none.
func newRequest(route *routing.Route, received time.Time, a *account.Account, nested bool) call.Request {
	req := call.Request{
		Route: route.Name, Kind: route.Kind, Priority: route.Priority, Nested: nested,
		Deadline: received.Add(route.Timeout), SoftDeadline: received.Add(route.TargetLatency),
	}
	if a != nil {
		req.Account = a.Name
		if a.HasPriority {
			req.Priority = a.Priority
		}
	}
	return req
}

// nextCall returns a unique ID for one attempt of a non-idempotent request.
func (d *Dispatcher) nextCall() ledger.CallID {
	return ledger.CallID{Origin: d.opts.Process, Counter: d.calls.Add(1)}
}

// parseDeadline parses the remaining time in the client's deadline header, in
// milliseconds. Values beyond maxDeadline count as that.
func parseDeadline(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond, true
}

// refuse returns a response which says that the request has not run and when to retry
// it.
func (d *Dispatcher) refuse(id, route string, why reason.Refusal, after time.Duration) ingress.Response {
	return d.refuseWith(http.StatusServiceUnavailable, id, route, why, after)
}

// refuseWith is refuse with another status.
func (d *Dispatcher) refuseWith(status int, id, route string, why reason.Refusal, after time.Duration) ingress.Response {
	d.opts.Metrics.refused(why)
	after += time.Duration(retryAfterJitter * rand.Float64() * float64(after))
	head := d.localHeaders(id)
	head = append(head, "Retry-After: "...)
	head = strconv.AppendFloat(head, after.Seconds(), 'f', 3, 64)
	head = append(head, "\r\n"...)
	d.log.Write(event.RequestRefused, "request", id, "route", route, "reason", why, "retryAfter", after)
	return ingress.Response{Status: status, Head: head}
}

// reject returns an error response for a request that is invalid or has no route.
func (d *Dispatcher) reject(id string, status int, why reason.Refusal) ingress.Response {
	d.opts.Metrics.refused(why)
	return ingress.Response{Status: status, Head: d.localHeaders(id)}
}

// localHeaders returns the headers of a response generated by this node.
func (d *Dispatcher) localHeaders(id string) []byte {
	if id == "" {
		return nil
	}
	return []byte(d.opts.Headers.RequestID + ": " + id + "\r\n")
}
