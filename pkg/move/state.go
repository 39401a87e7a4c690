package move

// State is the replicated state of a move. No field ever decreases, so states can be
// merged in any order and any number of times.
type State struct {
	Move string `cbor:"1,keyasint"`
	// Stage is the highest stage to which a decider has raised the move.
	Stage      uint8 `cbor:"2,keyasint,omitempty"`
	RolledBack bool  `cbor:"3,keyasint,omitempty"`
	// Reason is the reason for the rollback.
	Reason string `cbor:"4,keyasint,omitempty"`
	// Done is true once a decider has decided `done`, which may precede the record of
	// the outcome.
	Done bool `cbor:"5,keyasint,omitempty"`
}

// Merge returns the least state that includes both. It is commutative, associative and
// idempotent for states of one move; a state of another move is ignored.
func (m State) Merge(other State) State {
	if m.Move == "" {
		m.Move = other.Move
	}
	if other.Move != "" && m.Move != other.Move {
		return m
	}
	m.Stage = max(m.Stage, other.Stage)
	m.RolledBack = m.RolledBack || other.RolledBack
	m.Reason = max(m.Reason, other.Reason)
	m.Done = m.Done || other.Done
	return m
}

// Covers reports whether merging other into m would change nothing.
func (m State) Covers(other State) bool {
	return m.Merge(other) == m
}
