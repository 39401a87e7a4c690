package retry

import (
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Outcome describes the result of one attempt of a call.
type Outcome struct {
	// Status is the HTTP status of the response, or 0 if there was none.
	Status int
	// RetryAfter is the wait requested by the response, or 0.
	RetryAfter time.Duration
	// Ran reports whether the upstream started the call; empty means unknown.
	Ran reason.Ran
	// ConnectFailure means that no connection was established and no byte was sent.
	ConnectFailure bool
	// Broken means that the exchange ended before the complete response was read.
	Broken bool
	// TimedOut means that the attempt timeout passed without a response.
	TimedOut bool
	// Repeatable means that the call may run more than once.
	Repeatable bool
	// Spent means that a lower level has already applied its retry policy.
	Spent bool
}
