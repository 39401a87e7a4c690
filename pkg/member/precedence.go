package member

// Supersedes reports whether update a replaces b of the same instance: the higher
// incarnation wins, then the higher sequence, then the state of higher precedence.
func Supersedes(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.State > b.State
}

// Brief returns the compact form in which a suspicion or death is spread: without the
// description that receivers already have. It takes a third of the bytes of the full
// record, which matters when a whole failure domain is lost.
func (m Member) Brief() Member {
	if m.State != Suspect && m.State != Dead {
		return m
	}
	return Member{Instance: m.Instance, Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State}
}

// isBrief reports whether a record lacks the description of the member.
func (m Member) isBrief() bool { return m.ControlAddr == "" }

// withDescription returns the full record for a brief one, with the description from
// the known record.
func (m Member) withDescription(known Member) Member {
	known.Incarnation, known.Sequence, known.State = m.Incarnation, m.Sequence, m.State
	return known
}
