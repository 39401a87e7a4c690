package limit

import (
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

const (
	// DefaultSlots is the number of calls that run concurrently at one upstream.
	DefaultSlots = 9
	// DefaultConnections is the maximum number of connections of one server.
	DefaultConnections = 130
	// DefaultQueue is the maximum number of waiting calls: two per slot, which is a
	// wait of about two service times when the queue is full.
	DefaultQueue = 2 * DefaultSlots

	// newConnectionGrace is the time after which a connection that has not sent a
	// request counts as idle. It covers a TLS handshake over a slow link.
	newConnectionGrace = 5 * time.Second
)

const (
	// serviceGain and deviationGain are the weights of a new sample in the mean and in
	// the mean deviation of the service time, as in RFC 6298.
	serviceGain   = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviationFactor is the number of mean deviations added to the mean service time
	// in deadline checks. In a simulation at 4 times the capacity, with a deadline of
	// 2.4 mean service times and uniform service times, 0 gives a goodput of 0.78 of
	// the capacity and 1 gives 0.94. At the capacity with exponential service times, 1
	// gives 0.90 and 3 gives 0.80, because slots stay idle.
	deviationFactor = 1
)

// withDefaults replaces limits that are not positive by the default values.
func withDefaults(l config.Limits) config.Limits {
	if l.Slots <= 0 {
		l.Slots = DefaultSlots
	}
	if l.Connections <= 0 {
		l.Connections = DefaultConnections
	}
	if l.Queue <= 0 {
		l.Queue = DefaultQueue
	}
	return l
}
