package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
)

// peerCall is one call at the upstream's node. The goroutine of its request owns it.
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
	finished bool // the ledger has the outcome
}

// admit reads a small body, waits for a slot and records the call in the ledger. A
// body that is cut off before this is over never reaches the upstream.
func (c *peerCall) admit(ctx context.Context) (refusal, bool) {
	if refused, ok := c.usable(); !ok {
		return refused, false
	}
	body, err := readRequestBody(c.w, c.r, c.s.opts.MaxBodyBytes, c.deadline)
	if err != nil {
		return refuse(reason.Canceled, reason.RanNo, "the request body was not received: %v", err), false
	}
	c.body = body
	c.progress.body.Store(body.stream)
	release, why := c.s.opts.Limiter.Acquire(ctx, c.deadline)
	if why != "" {
		return refuse(why, reason.RanNo, "the upstream has no slot for the call: send it to another upstream"), false
	}
	if refused, ok := c.usable(); !ok {
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

// usable refuses a call if the node or the upstream is leaving or absent.
func (c *peerCall) usable() (refusal, bool) {
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

// run exchanges an admitted call with the upstream. A non-repeatable call goes on
// when the peer's connection breaks, because the entrance will ask for its outcome.
func (c *peerCall) run(ctx context.Context) {
	if !c.headers.repeatable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		c.progress.setCancel(cancel)
	}
	defer func() {
		c.finish(ledger.Outcome{Ran: reason.RanUnknown})
		c.body.end(c.w, c.last)
	}()
	ans, refused, ok := c.exchange(ctx)
	c.body.closeUnread(c.w)
	if !ok {
		c.finish(ledger.Outcome{Ran: refused.ran})
		c.s.refuse(c.w, refused)
		return
	}
	c.reply(ans)
}

// exchange sends the call to the upstream and reads its answer as far as it is held.
func (c *peerCall) exchange(ctx context.Context) (*answer, refusal, bool) {
	pool := c.s.upstreams.of(c.upstream.Address)
	maxAge := idleTimeout
	if !c.headers.repeatable {
		maxAge = freshReuse
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
	all := !c.headers.repeatable && !streamsEvents(x.resp.Header)
	ans, err := readAnswer(x, all)
	if err == nil && ans.rest == nil {
		return ans, refusal{}, true
	}
	if !x.answered() {
		return nil, c.broken(ctx, x, err), false
	}
	if err != nil {
		return nil, refuse(reason.UpstreamFailed, reason.RanYes, "the answer of the upstream was cut off: %v", err), false
	}
	return ans, refusal{}, true
}

// request builds the request to the upstream. Its deadline applies until the answer
// begins: an answer that is streamed to a repeatable call may outlast the attempt,
// and the entrance ends it at the deadline of the call. The upstream gets the deadline and
// the depth to pass them on with calls of its own.
func (c *peerCall) request() exchangeRequest {
	req := &http.Request{Method: c.r.Method, URL: c.r.URL, Host: c.r.Host,
		Header: forwarded(c.r.Header), Trailer: c.r.Trailer}
	setHeaders(req.Header,
		HeaderCallID, c.headers.id.String(),
		HeaderDepth, strconv.Itoa(c.headers.depth),
		HeaderDeadline, formatTimeout(time.Until(c.deadline)))
	return exchangeRequest{req: req, stream: c.body.attach(req), limit: max(time.Until(c.deadline), time.Millisecond)}
}

// broken describes an exchange with the upstream that brought no response.
func (c *peerCall) broken(ctx context.Context, x *exchange, cause error) refusal {
	ran := reason.RanUnknown
	if !x.conn.tried.Load() {
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

// reply records the answer and sends it to the entrance.
func (c *peerCall) reply(ans *answer) {
	spent := ans.header.Get(HeaderRetry) == retrySpent
	removeHopByHop(ans.header)
	removeOwn(ans.header)
	setHeaders(ans.header, HeaderRan, string(reason.RanYes), HeaderVersion, c.upstream.Version)
	if spent {
		setHeader(ans.header, HeaderRetry, retrySpent)
	}
	if ans.rest == nil {
		c.finish(ans.kept())
		c.release() // the upstream is done; the peer may be slow to take the answer
	} else {
		c.finish(ledger.Outcome{})
	}
	setHeader(c.w.Header(), HeaderLoad, c.s.load())
	if !relay(c.w, c.r.Method, ans, time.Now().Add(MaxCallTimeout), func(n int) { c.progress.written.Add(int64(n)) }) {
		if ans.rest != nil {
			ans.rest.abandon()
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
