package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/ingress"
	"corianderwood.example/corianderwood/pkg/placement"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// exchange holds the state of one request from its arrival to its response. It is used
// by one goroutine only.
type exchange struct {
	dispatcher *Dispatcher
	table      *routing.Table
	route      *routing.Route
	// account is the client account of the request; nil without one.
	account *account.Account
	req     call.Request
	// clientDeadline is when the client gives up, also if the request is sent again.
	clientDeadline time.Time
	// returning means that the client has probably sent the request before.
	returning bool

	arrivals int
	maybeRan bool
	// sending means that the outcome of an attempt is not known, also after a panic.
	sending     bool
	tried       []string
	retryAfter  time.Duration
	lastRefusal reason.Refusal
	// rejected means that the last offer reached a server with free slots, which did not run the
	// request.
	rejected    bool
	lastFailure *call.Response // failure response of a server, returned if no retry succeeds
}

// run sends the request to servers until it has a response or no action remains.
func (x *exchange) run(ctx context.Context) ingress.Response {
	budget := x.dispatcher.budgets.forService(x.req.Service, x.req.Nested)
	budget.RecordFirst(time.Now())
	for {
		choice, ok := x.pick()
		if !ok {
			return x.fail()
		}
		res := x.send(ctx, choice)
		action := decide(x.state(ctx), res)
		x.dispatcher.logOutcome(x, choice, res, action)
		if action == Retry && !budget.TryTake(time.Now(), x.dispatcher.budgets.bound.Extra()) {
			x.dispatcher.opts.Metrics.refused(reason.RetryBudget)
			action = failureAction(x.state(ctx))
			if res.Answered() {
				action = Respond
			}
		}
		switch action {
		case Respond:
			return x.respond(res)
		case Retry:
			x.dispatcher.opts.Metrics.retried(res)
		case Reroute:
		default:
			return x.fail()
		}
		if res.Answered() {
			x.lastFailure = &res
		}
	}
}

// pick selects a server that was not tried yet.
func (x *exchange) pick() (placement.Choice, bool) {
	now := time.Now()
	selection := x.dispatcher.opts.Rollouts.Select(now, x.req.Service, x.route.Name)
	q := queryOf(now, &x.req, len(x.req.Body), x.tried, selection.Preferred)
	choice, ok := x.dispatcher.opts.Selector.Pick(now, q)
	if !ok && selection.Fallback != nil {
		q.Version = selection.Fallback
		choice, ok = x.dispatcher.opts.Selector.Pick(now, q)
	}
	return choice, ok
}

// queryOf returns the query for the server of a request with a body of the given size.
func queryOf(now time.Time, req *call.Request, bodyBytes int, tried []string, version func(string) bool) placement.Query {
	return placement.Query{
		Service: req.Service, Route: req.Route, Exclude: tried, Version: version,
		TargetIn: req.ResponseDue(now).Sub(now), BodyBytes: bodyBytes,
	}
}

// send sends the request to the chosen server and records the outcome.
func (x *exchange) send(ctx context.Context, choice placement.Choice) call.Response {
	req := x.req
	req.Instance = choice.Server.Incarnation
	req.SoftDeadline = req.SoftDeadline.Add(-choice.DeliveryTime)
	if !req.Kind.Idempotent() {
		req.CallID = x.dispatcher.nextCall()
	}
	x.sending = true
	res := x.ownResponse(x.execute(ctx, choice, &req))
	x.sending = false
	x.tried = append(x.tried, choice.Node)
	if res.ReachedServer {
		x.arrivals++
	}
	if res.Ran != reason.RanNo {
		x.maybeRan = true
	}
	if res.RetryAfter > 0 && (x.retryAfter == 0 || res.RetryAfter < x.retryAfter) {
		x.retryAfter = res.RetryAfter
	}
	if res.Refusal != "" {
		x.lastRefusal = res.Refusal
	}
	x.rejected = rejectedWithRoom(res)
	return res
}

// execute runs the request at the chosen server. The choice is also done if that panics.
func (x *exchange) execute(ctx context.Context, choice placement.Choice, req *call.Request) (res call.Response) {
	defer func() { choice.Done(time.Now(), x.route.Name, res) }()
	return choice.Executor.Do(ctx, req)
}

func (x *exchange) state(ctx context.Context) attemptState {
	return attemptState{
		kind: x.req.Kind, attempts: x.route.Attempts, arrivals: x.arrivals, offers: len(x.tried),
		left: time.Until(x.req.Deadline), maybeRan: x.maybeRan,
		canceled: ctx.Err() != nil,
	}
}

// returnTime records that the request was refused for lack of room, and returns the time
// after which the client may send it again. The callers of nested requests do not wait.
func (x *exchange) returnTime(drained time.Duration) time.Duration {
	if x.req.Nested {
		return drained
	}
	now := time.Now()
	x.observeRefusal(now, true)
	left := x.clientDeadline.Sub(now)
	latest := float64(left-x.route.TargetLatency) / (1 + retryAfterJitter)
	within := returnShare * float64(left) / (1 + retryAfterJitter)
	return x.dispatcher.returns.after(now, x.req.Service, drained, time.Duration(latest), time.Duration(within), rand.Float64())
}

// observeRefusal records whether the request was refused for lack of room. Requests that return do
// not count: they run after the new ones, so that the share of refused ones among them says little of
// the chances of a new request.
func (x *exchange) observeRefusal(now time.Time, refused bool) {
	if !x.returning {
		x.dispatcher.returns.observe(now, x.req.Service, refused)
	}
}

func (x *exchange) respond(res call.Response) ingress.Response {
	if !x.req.Nested {
		x.observeRefusal(time.Now(), false)
	}
	return ingress.Response{Status: res.Status, Head: res.Head, Body: res.Body, SoftDeadline: x.req.ResponseDue(time.Now())}
}

// fail returns the response to a request that no server has run successfully.
func (x *exchange) fail() ingress.Response {
	d := x.dispatcher
	if x.lastFailure != nil {
		return x.respond(*x.lastFailure)
	}
	if !x.maybeRan {
		after := x.retryAfter
		if after == 0 {
			after = noServerRetryAfter
		}
		why := x.lastRefusal
		switch {
		case x.rejected:
			why, after = reason.ServerRejected, rejectedRetryAfter
		case why != "":
		default:
			why = d.noServer(x.req.Service)
		}
		if overloaded(why) {
			after = x.returnTime(after)
		}
		d.accountRefused(x.account, why)
		return d.refuse(x.req.ID, x.route.Name, why, after)
	}
	status, why := http.StatusBadGateway, reason.OutcomeUnknown
	if !time.Now().Before(x.req.Deadline) {
		status, why = http.StatusGatewayTimeout, reason.DeadlineExceeded
	}
	return x.failWith(status, why)
}

// noServer returns why no server of the service can be chosen.
func (d *Dispatcher) noServer(service string) reason.Refusal {
	if d.opts.Selector.AllEvacuated(service) {
		return reason.Evacuated
	}
	return reason.NoUpstream
}

// failWith returns an error response after which the client must assume that the request may
// have run.
func (x *exchange) failWith(status int, why reason.Refusal) ingress.Response {
	d := x.dispatcher
	d.opts.Metrics.refused(why)
	d.accountRefused(x.account, why)
	d.log.Write(event.RequestFailed, "request", x.req.ID, "route", x.route.Name, "status", status, "reason", why, "last", x.lastRefusal, "tried", x.tried)
	return ingress.Response{Status: status, Head: d.localHeaders(x.req.ID)}
}

// forgetUnlessRan lets the request run under its id once more if it has not run.
func (x *exchange) forgetUnlessRan() {
	if !x.maybeRan && !x.sending {
		x.dispatcher.once.forget(x.req.ID)
	}
}
