package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// CallID identifies one attempt of a call: the incarnation of its entrance and a
// counter of that entrance. An entrance sends each id once.
type CallID struct {
	Origin  uint64 `cbor:"1,keyasint"`
	Counter uint64 `cbor:"2,keyasint"`
}

const callIDText = 32 // hex digits

// String returns the id as 32 hexadecimal digits.
func (id CallID) String() string {
	var raw [callIDText / 2]byte
	binary.BigEndian.PutUint64(raw[:8], id.Origin)
	binary.BigEndian.PutUint64(raw[8:], id.Counter)
	var text [callIDText]byte
	hex.Encode(text[:], raw[:])
	return string(text[:])
}

// ParseCallID reads the form that String returns.
func ParseCallID(text string) (CallID, error) {
	var raw [callIDText / 2]byte
	if len(text) != callIDText {
		return CallID{}, fmt.Errorf("call id has %d characters, want %d hexadecimal digits", len(text), callIDText)
	}
	if _, err := hex.Decode(raw[:], []byte(text)); err != nil {
		return CallID{}, fmt.Errorf("call id %q: want hexadecimal digits: %w", text, err)
	}
	return CallID{
		Origin:  binary.BigEndian.Uint64(raw[:8]),
		Counter: binary.BigEndian.Uint64(raw[8:]),
	}, nil
}
