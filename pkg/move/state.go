package move

// State is the replicated state of a move. Every field only grows, so marks merge
// in any order and any number of times.
type State struct {
	Move string `cbor:"1,keyasint"`
	// Stage is the highest step that a decider has raised the move to.
	Stage      uint8 `cbor:"2,keyasint,omitempty"`
	RolledBack bool  `cbor:"3,keyasint,omitempty"`
	// Reason says why the move was taken back.
	Reason string `cbor:"4,keyasint,omitempty"`
	// Done is set when a decider has decided `done`, possibly before the record.
	Done bool `cbor:"5,keyasint,omitempty"`
}

// Merge returns the least mark that covers both. It is commutative, associative
// and idempotent for marks of one move; a mark of another move is ignored.
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

// Covers reports whether merging other into m changes nothing.
func (m State) Covers(other State) bool {
	return m.Merge(other) == m
}
