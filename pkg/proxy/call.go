package proxy

import (
	"context"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/retry"
)

// call is one call at its entrance. The goroutine of its request owns it.
type call struct {
	e *CallerServer
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
	last    *exchange       // the latest exchange with a peer
	retried bool
	// mayHaveRun tells that an earlier attempt may have run, so that "not run" is no longer
	// true of the call.
	mayHaveRun bool
}

// run makes attempts until one is answered or the retry policy ends them.
func (c *call) run(ctx context.Context) {
	defer func() { c.body.end(c.w, c.last) }()
	policy := c.e.opts.Policies.Policy(c.service)
	policy.FirstAttempt()
	c.e.opts.Metrics.first.Inc()
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

// retry decides whether a further attempt is made and waits until it is due.
func (c *call) retry(ctx context.Context, policy RetryPolicy, number int, a *attempt) bool {
	verdict := retry.Classify(a.outcome(c.repeatable))
	if verdict.Why == "" || !c.body.sendable(c.last) {
		return false
	}
	decision := policy.Decide(time.Now(), c.deadline, number, verdict, minResponse)
	if !decision.Retry {
		a.spent = true
		if decision.Refused != "" {
			c.e.opts.Metrics.refused.WithLabelValues(hopEntrance, string(decision.Refused)).Inc()
		}
		return false
	}
	c.e.opts.Metrics.retries.WithLabelValues(string(verdict.Why)).Inc()
	c.mayHaveRun = c.mayHaveRun || a.refused.ran != reason.RanNo
	a.drop()
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

// reply answers the caller with the result of the last attempt.
func (c *call) reply(a attempt) {
	c.body.closeUnread(c.w)
	h := c.w.Header()
	if a.spent || (c.retried && a.failed()) {
		setHeader(h, HeaderRetry, retrySpent)
	}
	if a.version != "" {
		setHeader(h, HeaderVersion, a.version)
	}
	if c.mayHaveRun && a.refused.ran == reason.RanNo {
		a.refused.ran = reason.RanUnknown
		if a.answer != nil {
			setHeader(a.answer.header, HeaderRan, string(reason.RanUnknown))
		}
	}
	if a.refused.reason != "" && a.refused.ran == reason.RanUnknown && !c.repeatable {
		c.e.opts.Metrics.unknown.Inc()
	}
	if a.answer == nil {
		c.e.refuse(c.w, a.refused)
		return
	}
	if a.refused.reason != "" {
		c.e.opts.Metrics.refused.WithLabelValues(hopEntrance, string(a.refused.reason)).Inc()
	}
	delete(a.answer.header, HeaderLoad)
	removeHopByHop(a.answer.header)
	if !relay(c.w, c.r.Method, a.answer, c.deadline, func(int) {}) {
		a.drop()
		c.e.opts.Metrics.aborted.WithLabelValues(hopEntrance).Inc()
		panic(http.ErrAbortHandler)
	}
}

// canceled ends a call whose caller went away.
func (c *call) canceled(a attempt) {
	a.drop()
	c.e.opts.Metrics.canceled.Inc()
	c.e.opts.Metrics.refused.WithLabelValues(hopEntrance, string(reason.Canceled)).Inc()
	panic(http.ErrAbortHandler)
}
