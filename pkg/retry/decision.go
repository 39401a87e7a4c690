package retry

import (
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Decision is the result of Policy.Decide.
type Decision struct {
	// Retry means that the call is to be sent again after Wait.
	Retry bool
	// Wait is the time to wait before the next attempt; 0 means at once.
	Wait time.Duration
	// Refused is the reason why a retryable outcome is not retried. It is empty if
	// Retry is true or the outcome is not retryable. A response that is returned after
	// a refused retry carries the header `Corianderwood-Retry: spent`.
	Refused reason.Refusal
}
