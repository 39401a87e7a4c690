package rollout

import (
	"time"

	"corianderwood.example/corianderwood/pkg/platform"
)

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

// restores reports whether o is the order p as the store has it after it was restored from an
// older copy, or as the operator has written it again since: the first order with the same
// content in a later era.
func (o Order) restores(p Order) bool {
	return o.Service == p.Service && o.Target == p.Target && o.Window == p.Window && platform.EraOf(o.Revision) > platform.EraOf(p.Revision)
}

// sameRow reports whether o is p as it stands in an older copy of the store.
func (o Order) sameRow(p Order) bool {
	return o.restores(p) && platform.CounterOf(o.Revision) == platform.CounterOf(p.Revision)
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
