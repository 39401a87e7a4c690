package retry

import (
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Response classes, used as values of the metrics label class.
const (
	ClassSuccess   = "success" // status below 400
	ClassThrottled = "429"
	Class4xx       = "4xx" // any other client error
	Class5xx       = "5xx"
	ClassConnect   = "connect" // no connection was established
	ClassBroken    = "broken"  // the exchange ended early
	ClassTimeout   = "timeout" // the attempt timed out
	ClassUnknown   = "unknown" // no response and no known failure
)

// Classification is the classification of an Outcome.
type Classification struct {
	// Retryable means that the outcome allows another attempt.
	Retryable bool
	// Why is the reason for a retry; empty if the outcome does not allow one. It is
	// also set if Spent is.
	Why reason.Retry
	// Wait is the minimum wait before the next attempt as given by Retry-After, or 0.
	Wait time.Duration
	// Class is the response class, one of the Class constants.
	Class string
	// Spent means that the outcome is not retried only because a lower level has
	// already spent its retries.
	Spent bool
}

// NotRun reports whether the attempt is known not to have run.
func (v Classification) NotRun() bool {
	return v.Why == reason.RetryNotRun || v.Why == reason.RetryConnectFailure
}
