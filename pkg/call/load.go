package call

import "time"

// Load is the load of a server. The node beside the server reports it with each
// response.
type Load struct {
	// Running and Waiting are numbers of requests; Slots is the most that run at once.
	Running, Waiting, Slots int
	// ServiceTime is the mean time that the server takes for one request of the route of the
	// request whose response reports it; 0 if it was not observed yet.
	ServiceTime time.Duration
	// FailureRate is the share of recent requests that failed at the server, 0 to 1.
	FailureRate float64
	// UplinkBacklog is the time that the instance's network link needs to send the responses
	// that are queued for it.
	UplinkBacklog time.Duration
}
