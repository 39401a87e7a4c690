package call

import (
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Response is the outcome of sending a request to one server.
type Response struct {
	// Status is the server's status, 0 if there is no complete response.
	Status int
	// Head holds the response headers of the server, each line with its line
	// end, without those that concern one connection only.
	Head []byte
	// Body is the whole body.
	Body []byte
	// Refusal is why there is no response; empty if Status is set.
	Refusal reason.Refusal
	// Ran tells whether a server started the request.
	Ran reason.Ran
	// ReachedServer tells that the request reached a server, which may have rejected it.
	ReachedServer bool
	// RetryAfter is when a refused request may be tried again; 0 is unknown.
	RetryAfter time.Duration
	// Load is the load of the gate that answered.
	Load Load
}

// Answered reports whether there is a complete response of a server that ran
// the request.
func (r Response) Answered() bool { return r.Status != 0 && r.Ran != reason.RanNo }

// Refused returns a response for a request that has not run and never will.
func Refused(why reason.Refusal, retryAfter time.Duration) Response {
	return Response{Refusal: why, Ran: reason.RanNo, RetryAfter: retryAfter}
}
