package dispatch

import (
	"net/http"

	"corianderwood.example/corianderwood/pkg/reason"
)

// RefusalStatus returns the status of the response to a request that has not run.
func RefusalStatus(why reason.Refusal) int {
	switch why {
	case reason.NoRoute:
		return http.StatusNotFound
	case reason.Unauthenticated:
		return http.StatusUnauthorized
	case reason.AccountLimit:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
