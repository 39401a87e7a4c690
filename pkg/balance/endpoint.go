package balance

import "time"

// Endpoint is an upstream as listed in the member table.
type Endpoint struct {
	Instance string
	// Incarnation identifies the process of the instance's node. Statistics are reset
	// when it or the version changes.
	Incarnation   uint64
	CallAddr      string
	FailureDomain string
	Region        string
	Service       string
	Version       string
	// Slots is the number of calls that the upstream runs concurrently; 0 means 9.
	Slots int
	// Since is the time at which the upstream started. If it is zero, the upstream
	// counts as started when this balancer first listed it, or as long running if it
	// was listed by the first Update of its service.
	Since time.Time
}

// sameProcess reports whether both endpoints have the same incarnation and version.
func (e Endpoint) sameProcess(other Endpoint) bool {
	return e.Incarnation == other.Incarnation && e.Version == other.Version
}

// Locality is the location of the node that selects upstreams.
type Locality struct {
	FailureDomain string
	Region        string
}
