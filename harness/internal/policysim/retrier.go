package policysim

import (
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/retry"
)

// Retrier is the retry policy of a Client; *retry.Policy is one.
type Retrier interface {
	FirstAttemptAt(now time.Time)
	Decide(now, deadline time.Time, attempt int, v retry.Classification, minResponse time.Duration) retry.Decision
}

// FixedCount retries every retryable outcome up to a fixed number of times, with the
// same jitter as the product but no budget.
type FixedCount struct {
	Retries int
	Rand    *rand.Rand
	// HonourSpent leaves responses alone that a lower level has retried.
	HonourSpent bool
}

// FirstAttemptAt does nothing.
func (f FixedCount) FirstAttemptAt(time.Time) {}

// Decide implements Retrier.
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
