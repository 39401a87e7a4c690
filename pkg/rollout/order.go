package rollout

import "time"

// Order is a request to move the traffic of a service to a version.
type Order struct {
	Service string
	// Target is the version that is rolled out.
	Target string
	// Window is the time from the start of the order to its deadline.
	Window time.Duration
	// Revision is the store's revision of the row that contains the order. It
	// identifies the order; later orders have higher revisions.
	Revision uint64
}

// State is the state of an order.
type State uint8

// States of an order.
const (
	Running State = iota
	Completed
	RolledBack
)

// String returns the name of the state in logs.
func (s State) String() string {
	switch s {
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled back"
	default:
		return "running"
	}
}
