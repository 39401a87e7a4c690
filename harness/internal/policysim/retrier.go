package policysim

import (
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/retry"
)

// Retrier is the retry policy of a Client; *retry.Policy implements it.
type Retrier interface {
	FirstAttemptAt(now time.Time)
	Decide(now, deadline time.Time, attempt int, v retry.Classification, minResponse time.Duration) retry.Decision
}

// FixedCount retries every retryable outcome up to a fixed number of times, with the
// same jitter as the product but no budget.
type FixedCount struct {
	Retries int
	Rand    *rand.Rand
	// HonourSpent prevents retries of responses that a level further downstream has
	// already retried.
	HonourSpent bool
}

// FirstAttemptAt does nothing: there is no budget to refill.
func (f FixedCount) FirstAttemptAt(time.Time) {}

// Decide grants a retry if the outcome is retryable, retries are left, and the response
// to the retry can arrive before the deadline. Without HonourSpent, spent outcomes are
// retried like others, although their classification is not Retryable.
func (f FixedCount) Decide(now, deadline time.Time, attempt int, v retry.Classification, minResponse time.Duration) retry.Decision {
	if v.Why == "" {
		return retry.Decision{}
	}
	if v.Spent && f.HonourSpent {
		return retry.Decision{Refused: reason.RetrySpent}
	}
	if attempt > f.Retries {
		return retry.Decision{Refused: reason.RetryAttempts}
	}
	width := min(retry.DefaultBase<<(attempt-1), retry.DefaultMaxWait)
	wait := time.Duration(f.Rand.Int64N(int64(width)))
	if now.Add(wait + minResponse).After(deadline) {
		return retry.Decision{Refused: reason.RetryDeadline}
	}
	return retry.Decision{Retry: true, Wait: wait}
}
