package retry

import (
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Response classes, the values of the class label of metrics.
const (
	ClassSuccess   = "success" // status below 400
	ClassThrottled = "429"
	Class4xx       = "4xx" // any other client error
	Class5xx       = "5xx"
	ClassConnect   = "connect" // no connection
	ClassBroken    = "broken"  // the exchange broke
	ClassTimeout   = "timeout" // the attempt timed out
	ClassUnknown   = "unknown" // no response and no known failure
)

// Classification is the classification of an Outcome.
type Classification struct {
	// Retryable means that another attempt is allowed by the kind of the outcome.
	Retryable bool
	// Why is the reason that the retry would have; empty unless the kind of the
	// outcome allows a retry.
	Why reason.Retry
	// Wait is the least wait before the next attempt, from Retry-After, else 0.
	Wait time.Duration
	// Class is the response class, one of the Class constants.
	Class string
	// Spent means that the outcome would be retryable, but for the retries that a
	// lower level has already made.
	Spent bool
}

// NotRun reports whether the attempt provably did not run.
func (v Classification) NotRun() bool {
	return v.Why == reason.RetryNotRun || v.Why == reason.RetryConnectFailure
}
