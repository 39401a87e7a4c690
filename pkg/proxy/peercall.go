package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
)

// peerCall is one call at the upstream's node. The goroutine that serves its request owns
// it.
type peerCall struct {
	s        *PeerServer
	w        http.ResponseWriter
	r        *http.Request
	headers  callHeaders
	progress *runningCall
	deadline time.Time

	body     *requestBody
	upstream LocalUpstream
	release  func()
	last     *exchange
	finished bool // the outcome is recorded in the ledger
}

// admit reads a small body, waits for a slot and records the call in the ledger. Nothing
// is sent to the upstream before, so a call whose small body is truncated has not run.
func (c *peerCall) admit(ctx context.Context) (refusal, bool) {
	if refused, ok := c.checkAvailable(); !ok {
		return refused, false
	}
	body, err := readRequestBody(ctx, c.w, c.r, c.s.opts.MaxBodyBytes, c.deadline, c.progress.body.Store)
	if err != nil {
		return refuse(reason.Canceled, reason.RanNo, "the request body was not received: %v", err), false
	}
	c.body = body
	release, why := c.s.opts.Limiter.Acquire(ctx, c.deadline)
	if why != "" {
		return refuse(why, reason.RanNo, "the upstream has no slot for the call: send it to another upstream"), false
	}
	if refused, ok := c.checkAvailable(); !ok {
		release()
		return refused, false
	}
	if !c.headers.repeatable {
		if why := c.s.opts.Ledger.Admit(time.Now(), c.headers.id, c.deadline); why != "" {
			release()
			ran := reason.RanNo
			if why == reason.OutcomeUnknown {
				ran = reason.RanUnknown
			}
			return refuse(why, ran, "the ledger does not admit call %s", c.headers.id), false
		}
	}
	c.release = release
	return refusal{}, true
}

// checkAvailable refuses a call if the node or the upstream is draining or no upstream is
// announced.
func (c *peerCall) checkAvailable() (refusal, bool) {
	if c.s.draining.Load() {
		return refuse(reason.Draining, reason.RanNo, "the node is leaving"), false
	}
	upstream, ok := c.s.opts.Upstream.Upstream()
	switch {
	case !ok:
		return refuse(reason.NoUpstream, reason.RanNo, "no upstream is announced on this instance"), false
	case upstream.Draining:
		return refuse(reason.Draining, reason.RanNo, "the upstream is leaving"), false
	}
	c.upstream = upstream
	c.progress.address.Store(&c.upstream.Address)
	return refusal{}, true
}

// run sends an admitted call to the upstream. A non-repeatable call continues if the
// connection to the ingress node breaks, because that node will query its outcome.
func (c *peerCall) run(ctx context.Context) {
	if !c.headers.repeatable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		c.progress.setCancel(cancel)
	}
	defer func() {
		c.finish(ledger.Outcome{Ran: reason.RanUnknown})
		c.body.stopReading(c.w, c.last)
	}()
	ans, refused, ok := c.exchange(ctx)
	c.body.closeConnIfUnread(c.w)
	if !ok {
		c.finish(ledger.Outcome{Ran: refused.ran})
		c.s.refuse(c.w, refused)
		return
	}
	c.reply(ans)
}

// exchange sends the call to the upstream and reads its response, of which a large or
// streamed body is left to be read later.
func (c *peerCall) exchange(ctx context.Context) (*response, refusal, bool) {
	pool := c.s.upstreams.of(c.upstream.Address)
	maxAge := idleTimeout
	if !c.headers.repeatable {
		maxAge = maxIdleNonRepeatable
	}
	conn, err := openWithin(ctx, pool, maxAge, time.Until(c.deadline))
	if err != nil {
		return nil, refuse(reason.UpstreamConnect, reason.RanNo, "no connection to the upstream could be opened: %v", err), false
	}
	x, err := start(ctx, pool, conn, c.request())
	c.last = x
	if err != nil {
		return nil, c.broken(ctx, x, err), false
	}
	all := !c.headers.repeatable && !isEventStream(x.resp.Header)
	ans, err := readResponse(x, all)
	if err == nil && ans.remainder == nil {
		return ans, refusal{}, true
	}
	if !x.stopLimit() {
		return nil, c.broken(ctx, x, err), false
	}
	if err != nil {
		ran := reason.RanYes
		if isInterruption(err) {
			ran = reason.RanUnknown // the head may be that of an earlier response
		}
		return nil, refuse(reason.UpstreamFailed, ran, "the answer of the upstream was cut off: %v", err), false
	}
	return ans, refusal{}, true
}

// request builds the request to the upstream. Its deadline applies until the response
// begins: a response streamed to a repeatable call may outlast the attempt, and the
// ingress node ends it at the deadline of the call. The upstream gets the deadline and
// the depth to pass them on with its own calls.
func (c *peerCall) request() exchangeRequest {
	req := &http.Request{Method: c.r.Method, URL: c.r.URL, Host: c.r.Host,
		Header: forwarded(c.r.Header), Trailer: c.r.Trailer}
	setHeaders(req.Header,
		HeaderCallID, c.headers.id.String(),
		HeaderDepth, strconv.Itoa(c.headers.depth),
		HeaderDeadline, formatTimeout(time.Until(c.deadline)))
	return exchangeRequest{req: req, stream: c.body.attach(req), limit: max(time.Until(c.deadline), time.Millisecond)}
}

// broken returns the refusal for an exchange that ended without a response.
func (c *peerCall) broken(ctx context.Context, x *exchange, cause error) refusal {
	ran := reason.RanUnknown
	if !x.conn.writeStarted.Load() {
		ran = reason.RanNo
	}
	switch {
	case x.expired.Load():
		return refuse(reason.DeadlineExceeded, ran, "the deadline passed before the upstream answered")
	case ctx.Err() != nil:
		return refuse(reason.Canceled, ran, "the caller went away")
	case c.body.failed():
		return refuse(reason.Canceled, ran, "the request body was not received in full")
	default:
		return refuse(reason.UpstreamFailed, ran, "the exchange with the upstream broke: %v", cause)
	}
}

// reply records the response in the ledger and sends it to the ingress node.
func (c *peerCall) reply(ans *response) {
	spent := ans.header.Get(HeaderRetry) == retrySpent
	removeHopByHop(ans.header)
	removeMeshHeaders(ans.header)
	setHeaders(ans.header, HeaderRan, string(reason.RanYes), HeaderVersion, c.upstream.Version)
	if spent {
		setHeader(ans.header, HeaderRetry, retrySpent)
	}
	if ans.remainder == nil {
		c.finish(ans.toOutcome())
		c.release() // the upstream is done; the ingress node may read the response slowly
	} else {
		c.finish(ledger.Outcome{})
	}
	setHeader(c.w.Header(), HeaderLoad, c.s.load())
	if !writeResponse(c.w, c.r.Method, ans, time.Now().Add(MaxCallTimeout), func(n int) { c.progress.written.Add(int64(n)) }) {
		if ans.remainder != nil {
			ans.remainder.abandon()
		}
		c.s.opts.Metrics.aborted.WithLabelValues(hopPeer).Inc()
		panic(http.ErrAbortHandler)
	}
}

// finish records the outcome of a non-repeatable call once.
func (c *peerCall) finish(a ledger.Outcome) {
	if c.headers.repeatable || c.finished {
		return
	}
	c.finished = true
	c.s.opts.Ledger.Finish(time.Now(), c.headers.id, a)
}
