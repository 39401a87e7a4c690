package balance

import "time"

// Load is the load that an upstream's node reports with a response.
type Load struct {
	Running, Queued, Slots int
}

// Result is the observed result of one attempt.
type Result struct {
	// Latency is the duration of the attempt.
	Latency time.Duration
	// Failed means that the upstream or its node failed: no connection, an incomplete
	// exchange, a timeout or a server error. A refusal for lack of capacity is no
	// failure.
	Failed bool
	// NotRun means that the call was refused or did not arrive. Without Failed it
	// indicates that the upstream has no free capacity.
	NotRun bool
	// Leaving means that the upstream refused the call because it is leaving.
	Leaving bool
	// Aborted means that the caller canceled the attempt. Such a result only ends the
	// call counted by Start and is not used as evidence about the upstream.
	Aborted bool
	// Load is the reported load; nil if there was none.
	Load *Load
}
