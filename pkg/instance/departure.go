package instance

import (
	"cmp"
	"slices"
)

// maxDepartures limits how many departures a node keeps. Only late heartbeats of servers that
// ran beside it shortly before refer to them.
const maxDepartures = 8

// Departure states that a server has left: the given incarnation or, if the node did not know
// the withdrawn server, every incarnation of an id up to a start time.
type Departure struct {
	// Incarnation is the incarnation that has left; empty if only the id is known.
	Incarnation string `cbor:"1,keyasint,omitempty"`
	// ID is the id that was withdrawn, if Incarnation is empty.
	ID string `cbor:"2,keyasint,omitempty"`
	// StartedUntilMS is the time of that withdrawal in Unix milliseconds: an incarnation that
	// started later is another one.
	StartedUntilMS int64 `cbor:"3,keyasint,omitempty"`
}

func (d Departure) covers(s Server) bool {
	if d.Incarnation != "" {
		return d.Incarnation == s.Incarnation()
	}
	return d.ID == s.ID && s.StartedAtMS <= d.StartedUntilMS
}

// startedAtMS returns the start of the server that has left, or the latest possible one. The
// start of a malformed incarnation counts as earlier than all others.
func (d Departure) startedAtMS() int64 {
	if d.Incarnation == "" {
		return d.StartedUntilMS
	}
	_, started, err := ParseIncarnation(d.Incarnation)
	if err != nil {
		return 0
	}
	return started
}

// Departures are the departures of the servers beside one node that started last, in the order
// of their starts. The result of merging several does not depend on which were known first.
type Departures []Departure

// With returns a copy that also has the given departures.
func (d Departures) With(more ...Departure) Departures {
	out := append(slices.Clone(d), more...)
	slices.SortFunc(out, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(a.startedAtMS(), b.startedAtMS()), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.ID, b.ID))
	})
	out = slices.Compact(out)
	return out[max(0, len(out)-maxDepartures):]
}

// Contain reports whether d already has what With would add.
func (d Departures) Contain(all []Departure) bool { return slices.Equal(d, d.With(all...)) }

// Cover reports whether the incarnation of s has left.
func (d Departures) Cover(s Server) bool {
	return slices.ContainsFunc(d, func(m Departure) bool { return m.covers(s) })
}
