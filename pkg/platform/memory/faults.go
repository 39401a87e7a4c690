package memory

import "time"

// Faults are the faults of one service. The zero value means that it works.
type Faults struct {
	// Down refuses every request. A write that is still being answered when the
	// service goes down has an unknown outcome.
	Down bool
	// Delay is spent on each request, half of it before the effect.
	Delay time.Duration
	// RatePerSecond refuses requests above this rate, with a burst of one second; 0
	// means no limit.
	RatePerSecond float64
	// DropResponse is the probability that a request takes effect and its answer is lost.
	DropResponse float64
	// DropRequest is the probability that a request is lost before it takes effect.
	DropRequest float64
	// DelayWrite is the probability that a write takes effect only after the caller
	// has been told that its outcome is unknown, up to LateBy later.
	DelayWrite    float64
	MaxWriteDelay time.Duration
}

// Counters count the requests that a service took, including those whose answer was
// lost. Bytes are keys and values.
type Counters struct {
	Reads, Writes           int
	ReadBytes, WrittenBytes int
	Refused                 int
}
