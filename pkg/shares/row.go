package shares

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// ErrNoMembers means that a row names no node.
var ErrNoMembers = errors.New("shares: the row names no members; delete it while all nodes are stopped")

// Row is the value of the store's row. Each member has the part 1/len(Members) of every limit.
type Row struct {
	Epoch   uint64   `cbor:"1,keyasint"`
	Members []string `cbor:"2,keyasint"`
	// Previous holds the members of the epoch before while the row does not say that the epoch is
	// settled.
	Previous []string `cbor:"3,keyasint,omitempty"`
}

// Decode decodes the value of a row. A list of names is epoch 0.
func Decode(value []byte) (Row, error) {
	var r Row
	if err := cbor.Unmarshal(value, &r.Members); err != nil {
		r = Row{}
		if err := cbor.Unmarshal(value, &r); err != nil {
			return Row{}, err
		}
	}
	if len(r.Members) == 0 {
		return Row{}, ErrNoMembers
	}
	return r, nil
}

// Encode is the reverse of Decode.
func (r Row) Encode() ([]byte, error) {
	if r.Epoch == 0 {
		return cbor.Marshal(r.Members)
	}
	return cbor.Marshal(r)
}

// part returns the part of each limit that a node has as one of the members.
func part(members []string, node string) float64 {
	if !slices.Contains(members, node) {
		return 0
	}
	return 1 / float64(len(members))
}

// informedQuorum is the number of members of an epoch that must know of the next one before it settles.
// A quarter allows the epoch to be left when most of its members are gone.
func informedQuorum(members int) int { return (members + 3) / 4 }

// confirmingQuorum is the number of members that includes at least one of any informedQuorum.
func confirmingQuorum(members int) int { return members - informedQuorum(members) + 1 }
