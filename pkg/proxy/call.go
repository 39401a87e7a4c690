package proxy

import (
	"context"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/retry"
)

// call is one call at the ingress node. The goroutine that serves its request owns it.
type call struct {
	s *CallerServer
	w http.ResponseWriter
	r *http.Request

	route      config.Route
	service    config.Service
	version    string
	depth      int
	repeatable bool
	begun      time.Time
	deadline   time.Time
	body       *requestBody

	exclude map[string]bool // instances that refused or failed the call
	last    *exchange       // the latest exchange with a node
	retried bool
	// mayHaveRun is set if an earlier attempt may have run, so that the call must not be
	// reported as not run.
	mayHaveRun bool
}

// run makes attempts until one succeeds or the retry policy allows no further one.
func (c *call) run(ctx context.Context) {
	defer func() { c.body.stopReading(c.w, c.last) }()
	policy := c.s.opts.Policies.Policy(c.service)
	policy.FirstAttempt()
	c.s.opts.Metrics.first.Inc()
	for number := 1; ; number++ {
		a := c.attempt(ctx)
		if ctx.Err() != nil && c.r.Context().Err() != nil {
			c.canceled(a)
			return
		}
		if !c.retry(ctx, policy, number, &a) {
			c.reply(a)
			return
		}
	}
}

// retry reports whether a further attempt is to be made, after waiting until it is due.
func (c *call) retry(ctx context.Context, policy RetryPolicy, number int, a *attempt) bool {
	classification := retry.Classify(a.outcome(c.repeatable))
	if classification.Why == "" || !c.body.canResend(c.last) {
		return false
	}
	decision := policy.Decide(time.Now(), c.deadline, number, classification, minResponseTime)
	if !decision.Retry {
		a.retriesSpent = true
		if decision.Refused != "" {
			c.s.opts.Metrics.refused.WithLabelValues(hopIngress, string(decision.Refused)).Inc()
		}
		return false
	}
	c.s.opts.Metrics.retries.WithLabelValues(string(classification.Why)).Inc()
	c.mayHaveRun = c.mayHaveRun || a.refused.ran != reason.RanNo
	a.discard()
	c.retried = true
	if decision.Wait > 0 {
		wait := time.NewTimer(decision.Wait)
		defer wait.Stop()
		select {
		case <-wait.C:
		case <-ctx.Done():
		}
	}
	return true
}

// reply sends the result of the last attempt to the caller.
func (c *call) reply(a attempt) {
	c.body.closeConnIfUnread(c.w)
	h := c.w.Header()
	if a.retriesSpent || (c.retried && a.failed()) {
		setHeader(h, HeaderRetry, retrySpent)
	}
	if a.version != "" {
		setHeader(h, HeaderVersion, a.version)
	}
	if c.mayHaveRun && a.refused.ran == reason.RanNo {
		a.refused.ran = reason.RanUnknown
		if a.response != nil {
			setHeader(a.response.header, HeaderRan, string(reason.RanUnknown))
		}
	}
	if a.refused.reason != "" && a.refused.ran == reason.RanUnknown && !c.repeatable {
		c.s.opts.Metrics.unknown.Inc()
	}
	if a.response == nil {
		c.s.refuse(c.w, a.refused)
		return
	}
	if a.refused.reason != "" {
		c.s.opts.Metrics.refused.WithLabelValues(hopIngress, string(a.refused.reason)).Inc()
	}
	delete(a.response.header, HeaderLoad)
	delete(a.response.header, HeaderExchange)
	removeHopByHop(a.response.header)
	if !writeResponse(c.w, c.r.Method, a.response, c.deadline, func(int) {}) {
		a.discard()
		c.s.opts.Metrics.aborted.WithLabelValues(hopIngress).Inc()
		panic(http.ErrAbortHandler)
	}
}

// canceled ends a call whose caller disconnected.
func (c *call) canceled(a attempt) {
	a.discard()
	c.s.opts.Metrics.canceled.Inc()
	c.s.opts.Metrics.refused.WithLabelValues(hopIngress, string(reason.Canceled)).Inc()
	panic(http.ErrAbortHandler)
}
