package dispatch

import (
	"context"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/ingress"
	"corianderwood.example/corianderwood/pkg/placement"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// exchange carries one request from its arrival to its answer. One goroutine
// uses it.
type exchange struct {
	entrance *Dispatcher
	table    *routing.Table
	route    *routing.Route
	req      call.Request

	arrivals   int
	maybeRan   bool
	tried      []string
	retryAfter time.Duration
	lastWhy    reason.Refusal
	kept       *call.Response // a server's failure, in case no repeat succeeds
}

func (x *exchange) run(ctx context.Context) ingress.Response {
	budget := x.entrance.budgets.of(x.req.Service, x.req.Nested)
	budget.RecordFirst(time.Now())
	for {
		choice, ok := x.pick()
		if !ok {
			return x.end()
		}
		res := x.send(ctx, choice)
		action := decide(x.state(ctx), res)
		x.entrance.logOutcome(x, choice, res, action)
		if action == Repeat && !budget.TryTake(time.Now(), x.entrance.budgets.bound.Extra()) {
			x.entrance.opts.Metrics.refused(reason.RetryBudget)
			action = ending(x.state(ctx))
			if res.Answered() {
				action = Answer
			}
		}
		switch action {
		case Answer:
			return x.answer(res)
		case Repeat:
			x.entrance.opts.Metrics.repeated(res)
		case Elsewhere:
		default:
			return x.end()
		}
		if res.Answered() {
			x.kept = &res
		}
	}
}

// pick chooses a server that has not been tried.
func (x *exchange) pick() (placement.Choice, bool) {
	now := time.Now()
	selection := x.entrance.opts.Rollouts.Select(now, x.req.Service)
	q := placement.Query{Service: x.req.Service, Route: x.route.Name, Exclude: x.tried, Version: selection.Preferred}
	choice, ok := x.entrance.opts.Selector.Pick(now, q)
	if !ok && selection.Fallback != nil {
		q.Version = selection.Fallback
		choice, ok = x.entrance.opts.Selector.Pick(now, q)
	}
	return choice, ok
}

// send offers the request to the chosen server's gate.
func (x *exchange) send(ctx context.Context, choice placement.Choice) call.Response {
	req := x.req
	req.Instance = choice.Server.Incarnation
	req.SoftDeadline = req.SoftDeadline.Add(-choice.DeliveryTime)
	if !req.Kind.Idempotent() {
		req.CallID = x.entrance.nextCall()
	}
	res := choice.Executor.Do(ctx, &req)
	choice.Done(time.Now(), x.route.Name, res)
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
		x.lastWhy = res.Refusal
	}
	return res
}

func (x *exchange) state(ctx context.Context) attemptState {
	return attemptState{
		kind: x.req.Kind, attempts: x.route.Attempts, arrivals: x.arrivals, placed: len(x.tried),
		left: time.Until(x.req.Deadline), maybeRan: x.maybeRan,
		gone: ctx.Err() != nil,
	}
}

func (x *exchange) answer(res call.Response) ingress.Response {
	return ingress.Response{Status: res.Status, Head: res.Head, Body: res.Body, SoftDeadline: x.req.SoftDeadline}
}

// end answers a request that no server has served.
func (x *exchange) end() ingress.Response {
	e := x.entrance
	if x.kept != nil {
		return x.answer(*x.kept)
	}
	if !x.maybeRan {
		after := x.retryAfter
		if after == 0 {
			after = noServerRetryAfter
		}
		why := x.lastWhy
		if why == "" {
			why = reason.NoUpstream
		}
		return e.refuse(x.req.ID, x.route.Name, why, after)
	}
	status, why := http.StatusBadGateway, reason.OutcomeUnknown
	if !time.Now().Before(x.req.Deadline) {
		status, why = http.StatusGatewayTimeout, reason.DeadlineExceeded
	}
	e.opts.Metrics.refused(why)
	e.log.write(event.RequestFailed, "request", x.req.ID, "route", x.route.Name, "status", status, "reason", why, "last", x.lastWhy, "tried", x.tried)
	return ingress.Response{Status: status, Head: e.ownHead(x.req.ID)}
}
