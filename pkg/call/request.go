package call

import (
	"time"

	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Request is one client attempt on its way to a server.
type Request struct {
	// ID is the client's id of this attempt, passed on unchanged.
	ID     string
	Method string
	// Head is the request line and the headers as the server gets them, each
	// line with its line end. The node beside the server adds the headers that
	// depend on the server and the empty line.
	Head []byte
	// Body is the whole body.
	Body []byte
	// Route names the route for evidence and metrics.
	Route string
	Kind  routing.Kind
	// Service is the service that runs the request.
	Service string
	// Instance is the incarnation that the placement chose; a node beside
	// another one refuses. Empty accepts any instance of the service.
	Instance string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Nested tells that a server made the request while it ran another one.
	Nested bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// SoftDeadline is when the response stops being on time.
	SoftDeadline time.Time
	// CallID identifies this sending in the ledger of a request that must not run twice.
	CallID ledger.CallID
}
