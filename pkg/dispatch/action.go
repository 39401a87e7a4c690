package dispatch

import (
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Action is what follows an outcome.
type Action uint8

// Actions after an outcome.
const (
	// Answer passes the server's response on.
	Answer Action = iota
	// Elsewhere offers the request to another gate; it has not reached a server.
	Elsewhere
	// Repeat sends the request to another server, which takes a retry token.
	Repeat
	// Refuse tells the client that the request has not run.
	Refuse
	// Fail tells the client that the outcome is unknown or bad.
	Fail
)

// attemptState is what a decision rests on.
type attemptState struct {
	kind     routing.Kind
	attempts int // servers that the route allows
	arrivals int // servers that the request has reached
	placed   int // gates that the request was offered to
	left     time.Duration
	// maybeRan tells that a server may have started the request.
	maybeRan bool
	// gone tells that the client has left.
	gone bool
}

// decide returns the action after an outcome. The caller still has to find a
// server, and a retry token for Repeat.
func decide(s attemptState, res call.Response) Action {
	if res.Answered() && res.Status < http.StatusInternalServerError {
		return Answer
	}
	if s.gone {
		return ending(s)
	}
	if res.Ran == reason.RanNo && !res.ReachedServer {
		if s.placed < maxPlacements && s.left > minRepeatTime {
			return Elsewhere
		}
		return ending(s)
	}
	again := s.arrivals < s.attempts && s.left > minRepeatTime && s.placed < maxPlacements
	if again && (s.kind.Idempotent() || !s.maybeRan) {
		return Repeat
	}
	if res.Answered() {
		return Answer
	}
	return ending(s)
}

// ending returns how a request ends that no server has answered.
func ending(s attemptState) Action {
	if s.maybeRan {
		return Fail
	}
	return Refuse
}
