package retry

import (
	"net/http"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Classify determines whether an outcome may be retried; all such rules are here. A
// client error other than 429 is never retried, nor is a non-repeatable call that may
// have run.
func Classify(o Outcome) Classification {
	v := Classification{Class: responseClass(o), Why: retryReason(o)}
	if v.Why == "" {
		return v
	}
	v.Wait = max(o.RetryAfter, 0)
	v.Spent = o.Spent
	v.Retryable = !o.Spent
	return v
}

func responseClass(o Outcome) string {
	switch {
	case o.ConnectFailure:
		return ClassConnect
	case o.TimedOut:
		return ClassTimeout
	case o.Broken:
		return ClassBroken
	case o.Status == http.StatusTooManyRequests:
		return ClassThrottled
	case o.Status >= 500:
		return Class5xx
	case o.Status >= 400:
		return Class4xx
	case o.Status > 0:
		return ClassSuccess
	default:
		return ClassUnknown
	}
}

// retryReason returns the reason for which an outcome may be retried, or "" if it may
// not.
func retryReason(o Outcome) reason.Retry {
	c := responseClass(o)
	switch {
	case c == ClassSuccess || c == Class4xx || c == ClassUnknown:
		return ""
	case c == ClassConnect:
		return reason.RetryConnectFailure
	case o.Ran == reason.RanNo:
		return reason.RetryNotRun
	case !o.Repeatable:
		return ""
	case c == ClassTimeout:
		return reason.RetryTimeout
	case c == ClassBroken:
		return reason.RetryBroken
	case c == ClassThrottled:
		return reason.RetryThrottled
	}
	switch o.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return reason.RetryUnavailable
	}
	return ""
}
