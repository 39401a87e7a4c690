package shares

import "time"

// Timing holds the times of epochs.
type Timing struct {
	// Valid is how long a node uses its share after the row was known to be current.
	Valid time.Duration
	// Settle is how long after a node learned of an epoch it uses its share of that epoch at the
	// earliest. It exceeds Valid by the largest age of a copy from which the store is restored, and
	// by a margin for leases, messages and the rates of clocks.
	Settle time.Duration
	// Unchanged is how long a set of nodes must be unchanged before it is proposed, Missing how long
	// a member must have been without a link before it is left out.
	Unchanged, Missing time.Duration
}

// DefaultTiming is for stores that are restored from copies of at most 60 s of age.
var DefaultTiming = Timing{Valid: 10 * time.Minute, Settle: 12 * time.Minute, Unchanged: time.Minute, Missing: 5 * time.Minute}
