package call

import (
	"time"

	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Request is one attempt of a client as it is sent to a server.
type Request struct {
	// ID is the client's id of this attempt, passed on unchanged.
	ID     string
	Method string
	// Head is the request line and the headers that are sent to the server, each
	// line terminated by CRLF. The node beside the server appends the headers that
	// depend on the server, and the empty line.
	Head []byte
	// Body is the complete body.
	Body []byte
	// Route is the name of the route, for roll-out decisions and metrics.
	Route string
	// Kind tells whether the request may run more than once.
	Kind routing.Kind
	// Service is the service that runs the request.
	Service string
	// Instance is the incarnation that the placement chose. A node beside another
	// incarnation refuses the request. Empty means any instance of the service.
	Instance string
	// Account is the name of the client account, as the node that received the request
	// authenticated it; empty without one.
	Account string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Nested is set if a server sent the request while it ran another one.
	Nested bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// SoftDeadline is the time until which the response counts as on time.
	SoftDeadline time.Time
	// CallID is the ledger's id of sending the request to this server, for a request that
	// must not run twice. The same request has another CallID at another server.
	CallID ledger.CallID
}

// ResponseDue returns the time by which the response should arrive: the deadline if the soft
// deadline has passed, as that of a request that was refused before.
func (r *Request) ResponseDue(now time.Time) time.Time {
	if now.Before(r.SoftDeadline) {
		return r.SoftDeadline
	}
	return r.Deadline
}
