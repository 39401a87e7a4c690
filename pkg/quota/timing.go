package quota

import "time"

// Timing holds the times of reports, leases and tokens, which depend on the size of the fleet.
type Timing struct {
	Interval time.Duration
	Lease    time.Duration
	// TokenLife is how long tokens are valid after the report that asked for them was sent.
	TokenLife time.Duration
}

// MaxLease is the longest lease at any size of the fleet.
const MaxLease = leaseIntervals * maxInterval

// TimingFor returns the times for a fleet of the given number of nodes.
func TimingFor(nodes int) Timing {
	interval := time.Duration(float64(nodes) / reportsPerSecond * float64(time.Second))
	interval = min(max(interval, minInterval), maxInterval)
	return Timing{Interval: interval, Lease: leaseIntervals * interval, TokenLife: tokenLife}
}
