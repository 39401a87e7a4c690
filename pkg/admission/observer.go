package admission

import (
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// Observer receives the outcome of each request that was sent to the server, including
// failures to connect. It must not block.
type Observer interface {
	// Served is called with the response, the version of the server and the time that
	// the server took, unless the caller canceled the request before its time was up.
	Served(now time.Time, req *call.Request, version string, res call.Response, took time.Duration)
	// Noticed is called with what the given incarnation of the server says of itself in a
	// complete response, or with the error of decoding it.
	Noticed(incarnation string, notice call.ServerNotice, err error)
}
