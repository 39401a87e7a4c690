package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/retry"
)

// attempt is the result of one attempt: a response of the upstream, a refusal by the
// upstream's node that is passed on as a response, or a refusal by this node.
type attempt struct {
	response *response
	refused  refusal // has an empty reason if the upstream responded
	version  string

	connectFailure, broken, timedOut bool
	retriesSpent                     bool // nodes closer to the first caller must not retry
}

// outcome returns the result of the attempt in the form used by the retry policy.
func (a *attempt) outcome(repeatable bool) retry.Outcome {
	o := retry.Outcome{Repeatable: repeatable, Ran: a.refused.ran, Status: statusOf(a.refused.reason),
		ConnectFailure: a.connectFailure, Broken: a.broken,
		TimedOut: a.timedOut || a.refused.reason == reason.DeadlineExceeded}
	if a.response != nil {
		o.Status = a.response.status
		o.Spent = a.response.header.Get(HeaderRetry) == retrySpent
		o.RetryAfter = retryAfter(a.response.header)
		if a.refused.reason == "" {
			o.Ran = reason.RanYes
		}
	}
	return o
}

func (a *attempt) failed() bool {
	return a.response == nil || a.refused.reason != "" || a.response.status >= http.StatusInternalServerError
}

// discard closes the connection of a response that is not passed on.
func (a *attempt) discard() {
	if a.response != nil && a.response.remainder != nil {
		a.response.remainder.abandon()
	}
}

// retryAfter parses a Retry-After header, in seconds or as a date, into the time to
// wait; 0 means that there is none.
func retryAfter(h http.Header) time.Duration {
	text := h.Get("Retry-After")
	if text == "" {
		return 0
	}
	if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(text); err == nil {
		return max(time.Until(at), 0)
	}
	return 0
}

// attempt sends the call to the node of one upstream and reports the result to the
// balancer.
func (c *call) attempt(ctx context.Context) attempt {
	now := time.Now()
	endpoint, ok := c.pick(now)
	if !ok {
		return attempt{refused: refuse(reason.NoUpstream, reason.RanNo,
			"no usable upstream of service %q version %q is known: start one or check its announcement",
			c.service.Name, c.version)}
	}
	c.s.opts.Balancer.Start(now, endpoint)
	a := c.exchange(ctx, endpoint)
	c.observe(now, endpoint, &a)
	return a
}

// pick chooses an upstream, if possible one that has not failed or refused this call.
func (c *call) pick(now time.Time) (Endpoint, bool) {
	endpoint, ok := c.s.opts.Balancer.Pick(now, c.service.Name, c.version, c.exclude)
	if !ok && len(c.exclude) > 0 {
		endpoint, ok = c.s.opts.Balancer.Pick(now, c.service.Name, c.version, nil)
	}
	return endpoint, ok
}

// exchange makes one attempt over a connection to the endpoint's node.
func (c *call) exchange(ctx context.Context, endpoint Endpoint) attempt {
	now := time.Now()
	end := retry.AttemptDeadline(now, c.deadline, c.attemptTimeout())
	// The upstream's node has the earlier deadline, so that its response to an expired
	// attempt still arrives here.
	limit := end.Add(retry.HopMargin).Sub(now)
	pool := c.s.peers.of(endpoint.CallAddr)
	conn, err := openWithin(ctx, pool, idleTimeout, limit)
	if err != nil {
		return attempt{connectFailure: true, refused: refuse(reason.PeerConnect, reason.RanNo,
			"no connection to the node of instance %q could be opened: %v", endpoint.Instance, err)}
	}
	id, target := c.s.ids.next(), Target{endpoint.Instance, endpoint.Incarnation}
	er := c.request(id, target, endpoint.CallAddr, end)
	er.limit = max(limit-time.Since(now), time.Millisecond)
	x, err := start(ctx, pool, conn, er)
	c.last = x
	if err == nil {
		all := !c.repeatable && !isEventStream(x.resp.Header)
		var ans *response
		if ans, err = readResponse(x, all); err == nil && (ans.remainder == nil || x.stopLimit()) {
			if ans.header.Get(HeaderRan) != "" {
				return fromPeer(ans)
			}
			x.abandon()
			err = fmt.Errorf("the peer answered status %d without header %s", ans.status, HeaderRan)
		}
	}
	return c.broken(ctx, endpoint, x, target, id, err)
}

// attemptTimeout returns the time that an attempt may take until its response begins;
// 0 means that only the call's deadline applies.
func (c *call) attemptTimeout() time.Duration {
	if !c.repeatable {
		return 0
	}
	return time.Duration(c.service.AttemptTimeoutMS) * time.Millisecond
}

// request builds the request to the upstream's node.
func (c *call) request(id ledger.CallID, target Target, addr string, end time.Time) exchangeRequest {
	req := &http.Request{Method: c.r.Method, URL: c.r.URL, Host: c.r.Host,
		Header: forwarded(c.r.Header), Trailer: c.r.Trailer}
	callHeaders{id: id, target: target.String(), timeout: time.Until(end),
		depth: c.depth, repeatable: c.repeatable}.set(req.Header)
	check := &stallCheck{client: c.s.outcomes, addr: addr, body: c.body,
		query: outcomeQuery{ID: id, Target: target, Probe: true}}
	stream := c.body.attach(req)
	return exchangeRequest{req: req, stream: stream, expectContinue: stream != nil, isStalled: check.stalled}
}

// fromPeer builds the result of an attempt from a response of the upstream's node and
// the headers which that node added.
func fromPeer(ans *response) attempt {
	a := attempt{response: ans, version: ans.header.Get(HeaderVersion)}
	if why := ans.header.Get(HeaderRefused); why != "" {
		a.refused = refusal{reason: reason.Refusal(why), ran: reason.Ran(ans.header.Get(HeaderRan))}
	}
	return a
}

// broken returns the result of an exchange that ended without a complete response.
func (c *call) broken(ctx context.Context, endpoint Endpoint, x *exchange, target Target, id ledger.CallID, cause error) attempt {
	if !x.conn.writeStarted.Load() {
		return attempt{connectFailure: true, refused: refuse(reason.PeerFailed, reason.RanNo,
			"nothing was sent to the node of instance %q: %v", endpoint.Instance, cause)}
	}
	if c.body.failed() {
		go c.s.cancel(endpoint.CallAddr, target, id)
		refused := refuse(reason.Canceled, reason.RanUnknown, "the request body was not received in full")
		if c.body.tooLarge() {
			refused = refuse(reason.BadRequest, reason.RanUnknown, "the request body exceeds the limit: send it in parts")
			refused.status = http.StatusRequestEntityTooLarge
		}
		return attempt{refused: refused}
	}
	if ctx.Err() != nil || x.expired.Load() {
		if !c.repeatable {
			go c.s.cancel(endpoint.CallAddr, target, id)
		}
		return attempt{timedOut: true, refused: refuse(reason.DeadlineExceeded, reason.RanUnknown,
			"the deadline passed before instance %q answered", endpoint.Instance)}
	}
	if c.repeatable {
		return attempt{broken: true, refused: refuse(reason.PeerFailed, reason.RanUnknown,
			"the exchange with the node of instance %q broke: %v", endpoint.Instance, cause)}
	}
	return c.resolve(ctx, endpoint, target, id, cause)
}

// resolve queries the ledger of the upstream's node for the outcome of the attempt.
func (c *call) resolve(ctx context.Context, endpoint Endpoint, target Target, id ledger.CallID, cause error) attempt {
	report, err := c.s.outcomes.resolve(ctx, endpoint.CallAddr, target, id)
	count := func(result string) { c.s.opts.Metrics.queries.WithLabelValues(result).Inc() }
	switch {
	case err != nil:
		count(resultUnreached)
		if c.r.Context().Err() != nil {
			go c.s.cancel(endpoint.CallAddr, target, id)
		}
		return attempt{broken: true, refused: refuse(reason.OutcomeUnknown, reason.RanUnknown,
			"the call may have run: its connection broke (%v) and the outcome query failed (%v)", cause, err)}
	case report.Ran == reason.RanNo:
		count(resultNotRun)
		return attempt{refused: refuse(reason.PeerFailed, reason.RanNo,
			"the call did not run: its connection broke (%v)", cause)}
	case report.Ran == reason.RanYes && report.Outcome != nil:
		count(resultAnswered)
		return fromPeer(fromOutcome(report.Outcome))
	case report.Ran == reason.RanYes:
		count(resultRanLost)
		return attempt{refused: refuse(reason.ResponseLost, reason.RanYes,
			"the call ran, its answer was lost (%v)", cause)}
	default:
		count(resultUnknown)
		return attempt{broken: true, refused: refuse(reason.OutcomeUnknown, reason.RanUnknown,
			"the call may have run: its connection broke (%v)", cause)}
	}
}

// cancel makes the upstream's node end the call, or fence its id if it has not arrived.
func (s *CallerServer) cancel(addr string, target Target, id ledger.CallID) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_, _ = s.outcomes.sendQuery(ctx, addr, outcomeQuery{ID: id, Target: target, Fence: true, Cancel: true})
}
