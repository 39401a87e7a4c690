package gossip

// MoveState is the replicated state of one move, a state-based CRDT: states of a move
// merge to the same value in any order and any number of times.
type MoveState struct {
	Move string `cbor:"1,keyasint"`
	// Stage is the step of the traffic share that was reached; it never decreases.
	Stage uint8 `cbor:"2,keyasint,omitempty"`
	// RolledBack is never unset.
	RolledBack bool   `cbor:"3,keyasint,omitempty"`
	Reason     string `cbor:"4,keyasint,omitempty"`
	// Done is never unset.
	Done bool `cbor:"5,keyasint,omitempty"`
}

// Merge returns the least upper bound of both states. Of two reasons it keeps the
// greater in string order; any fixed order makes the result unique.
func (m MoveState) Merge(o MoveState) MoveState {
	return MoveState{
		Move: m.Move, Stage: max(m.Stage, o.Stage), RolledBack: m.RolledBack || o.RolledBack,
		Reason: max(m.Reason, o.Reason), Done: m.Done || o.Done,
	}
}
