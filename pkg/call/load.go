package call

import "time"

// Load is what a gate reports of its server with each response.
type Load struct {
	// Running and Waiting count requests; Slots is how many run at once.
	Running, Waiting, Slots int
	// ServiceTime is the mean time that the server takes for one request.
	ServiceTime time.Duration
	// FailureRate is the recent share of requests that the server failed, 0 to 1.
	FailureRate float64
	// UplinkBacklog is how long the instance's network link needs for the responses that it
	// has yet to carry.
	UplinkBacklog time.Duration
}
