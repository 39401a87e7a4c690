package balance

import "time"

// Endpoint is one upstream as the member table shows it.
type Endpoint struct {
	Instance string
	// Incarnation identifies the process of the instance's node. What was observed of
	// another incarnation, or of another version on the same instance, does not count.
	Incarnation   uint64
	CallAddr      string
	FailureDomain string
	Region        string
	Service       string
	Version       string
	// Slots is the number of calls that the upstream runs at once; 0 means 9.
	Slots int
	// Since is the time at which the upstream started. The zero time means when it
	// was first seen by this balancer, or long ago if it was listed at the first Update
	// of its service.
	Since time.Time
}

// sameProcess reports whether both are the same version in the same incarnation.
func (e Endpoint) sameProcess(other Endpoint) bool {
	return e.Incarnation == other.Incarnation && e.Version == other.Version
}

// Locality is the place of the node that chooses.
type Locality struct {
	FailureDomain string
	Region        string
}
