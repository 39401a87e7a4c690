package downlink

import "time"

// Decision is the answer to an announced transfer.
type Decision struct {
	Transfer *Transfer
	Granted  bool
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
}
