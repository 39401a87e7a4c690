package admission

import (
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// Observer learns of each request that reached the server. It must not block.
type Observer interface {
	// Served takes the outcome and the time that the server took.
	Served(now time.Time, req *call.Request, version string, res call.Response, took time.Duration)
}
