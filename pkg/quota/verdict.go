package quota

import (
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Verdict tells why no token was available.
type Verdict struct {
	// Limited means that the limit of the account is the reason.
	Limited bool
	// RetryAfter is the time until a token is expected.
	RetryAfter time.Duration
}

// Refusal returns the reason to refuse a request without a token.
func (v Verdict) Refusal() reason.Refusal {
	if v.Limited {
		return reason.AccountLimit
	}
	return reason.QuotaUnavailable
}
