package admission

import (
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// Observer receives the outcome of each request that was sent to the server, including
// failures to connect, unless the caller canceled the request. It must not block.
type Observer interface {
	// Served is called with the response, the version of the server and the time that
	// the server took.
	Served(now time.Time, req *call.Request, version string, res call.Response, took time.Duration)
}
