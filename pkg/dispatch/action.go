package dispatch

import (
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Action is the next step after the outcome of an attempt.
type Action uint8

// Actions after an attempt.
const (
	// Respond returns the server's response to the client.
	Respond Action = iota
	// Reroute sends the request to another node, because the last attempt has not
	// reached a server. It takes no retry token.
	Reroute
	// Retry sends the request to another server, which takes a retry token.
	Retry
	// Refuse responds that the request has not run.
	Refuse
	// Fail responds with an error after which the client must assume that the request
	// may have run.
	Fail
)

// attemptState is the input of decide: the attempts of a request so far.
type attemptState struct {
	kind     routing.Kind
	attempts int           // maximum number of servers, set by the route
	arrivals int           // servers that the request has reached
	offers   int           // nodes that the request was sent to
	left     time.Duration // time until the deadline
	// maybeRan means that a server may have started the request.
	maybeRan bool
	// canceled means that the client has canceled the request or its deadline has
	// passed.
	canceled bool
}

// decide returns the action after an outcome. The caller must still find a server, and
// a retry token for Retry.
func decide(s attemptState, res call.Response) Action {
	if res.Answered() && res.Status < http.StatusInternalServerError {
		return Respond
	}
	if s.canceled {
		return failureAction(s)
	}
	if res.Ran == reason.RanNo && !res.ReachedServer {
		if s.offers < maxOffers && s.left > minRetryTime {
			return Reroute
		}
		return failureAction(s)
	}
	mayRetry := s.arrivals < s.attempts && s.left > minRetryTime && s.offers < maxOffers
	if mayRetry && (s.kind.Idempotent() || !s.maybeRan) {
		return Retry
	}
	if res.Answered() {
		return Respond
	}
	return failureAction(s)
}

// failureAction returns the final action for a request without a usable response.
func failureAction(s attemptState) Action {
	if s.maybeRan {
		return Fail
	}
	return Refuse
}
