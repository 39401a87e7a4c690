package proxy

import (
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// observe reports the attempt to the balancer and the observer, and excludes its instance
// from the further attempts of this call if it failed or did not run the call.
func (c *call) observe(begun time.Time, endpoint Endpoint, a *attempt) {
	now := time.Now()
	result := Result{Latency: now.Sub(begun), NotRun: a.refused.ran == reason.RanNo}
	result.Failed = a.response == nil && !result.NotRun || a.connectFailure ||
		a.refused.reason == reason.UpstreamConnect ||
		a.response != nil && !result.NotRun && a.response.status >= http.StatusInternalServerError
	result.Leaving = a.refused.reason == reason.Draining
	result.Aborted = c.r.Context().Err() != nil
	if a.response != nil {
		result.Load = parseLoad(a.response.header.Get(HeaderLoad))
	}
	c.s.opts.Balancer.Observe(now, endpoint, clearDownstreamFailure(result, a))
	if result.Failed || result.NotRun {
		if c.exclude == nil {
			c.exclude = make(map[string]bool)
		}
		c.exclude[endpoint.Instance] = true
	}
	if result.Aborted {
		return
	}
	if a.refused.reason == "" || causedByUpstream(a.refused.reason) {
		slow := c.service.SlowMS > 0 && result.Latency > time.Duration(c.service.SlowMS)*time.Millisecond
		failed := result.Failed || overloaded(a.refused.reason)
		c.s.opts.Observer.Observed(now, c.service.Name, c.route.Name, endpoint.Version, failed, slow)
	}
}

// clearDownstreamFailure clears the failure of a response that was already retried further
// down the chain of calls: a failing service there must not get the healthy upstreams that
// call it ejected.
func clearDownstreamFailure(r Result, a *attempt) Result {
	if a.response != nil && a.response.header.Get(HeaderRetry) == retrySpent {
		r.Failed = false
	}
	return r
}

// causedByUpstream reports whether a refusal was caused by the upstream, and so may depend
// on its version, rather than by nodes and their connections.
func causedByUpstream(why reason.Refusal) bool {
	switch why {
	case reason.UpstreamConnect, reason.UpstreamFailed, reason.DeadlineExceeded:
		return true
	}
	return overloaded(why)
}

// overloaded reports whether the upstream's node refused the call for lack of capacity.
// A version that is slow only under load causes such refusals.
func overloaded(why reason.Refusal) bool {
	return why == reason.QueueFull || why == reason.QueueDeadline
}
