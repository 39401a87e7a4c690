package call

import (
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Response is the outcome of sending a request to one server.
type Response struct {
	// Status is the HTTP status of the server, or 0 without a complete response.
	Status int
	// Head holds the response headers of the server, each line terminated by CRLF,
	// without the hop-by-hop headers.
	Head []byte
	// Body is the complete body.
	Body []byte
	// Refusal is the reason why there is no response; empty if there is one.
	Refusal reason.Refusal
	// Ran tells whether a server started the request.
	Ran reason.Ran
	// ReachedServer is set if the request was or may have been sent to a server, which may
	// have rejected it.
	ReachedServer bool
	// RetryAfter is the time after which a refused request may be retried; 0 means
	// unknown.
	RetryAfter time.Duration
	// Notice is what the server says of itself in a complete response; NoticeErr is set if
	// its limit could not be decoded. Neither is sent to peers.
	Notice    ServerNotice
	NoticeErr error
	// Load is the load reported by the node that responded.
	Load Load
}

// Answered reports whether the server ran the request and sent a complete response.
func (r Response) Answered() bool { return r.Status != 0 && r.Ran != reason.RanNo }

// Refused returns the outcome of a request that was refused: it has not run and will
// not run later.
func Refused(why reason.Refusal, retryAfter time.Duration) Response {
	return Response{Refusal: why, Ran: reason.RanNo, RetryAfter: retryAfter}
}
