package memory

import "time"

// Faults are the injected faults of one service. The zero value injects none.
type Faults struct {
	// Down rejects every request. A write in progress when the service goes down has an
	// unknown outcome.
	Down bool
	// Delay is the duration of each request; half of it passes before the request is
	// executed.
	Delay time.Duration
	// RatePerSecond limits the rate of requests, with a burst of one second; requests
	// above it are rejected. 0 means no limit.
	RatePerSecond float64
	// DropResponse is the probability that a request is executed but its response is
	// lost.
	DropResponse float64
	// DropRequest is the probability that a request is lost before it is executed.
	DropRequest float64
	// DelayWrite is the probability that a write is executed only after the caller has
	// received ErrUnknownOutcome, up to MaxWriteDelay later.
	DelayWrite    float64
	MaxWriteDelay time.Duration
}

// Counters count the requests that a service executed, including those whose response
// was lost, and those it rejected. Byte counts include keys and values.
type Counters struct {
	Reads, Writes           int
	ReadBytes, WrittenBytes int
	Refused                 int
}
