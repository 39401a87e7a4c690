package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// CallID identifies one attempt of a call: its origin, which is a number of the sending
// process, and a counter of that process. Each id is sent only once.
type CallID struct {
	Origin  uint64 `cbor:"1,keyasint"`
	Counter uint64 `cbor:"2,keyasint"`
}

const callIDDigits = 32 // hex digits

// String returns the id as 32 hexadecimal digits.
func (id CallID) String() string {
	var raw [callIDDigits / 2]byte
	binary.BigEndian.PutUint64(raw[:8], id.Origin)
	binary.BigEndian.PutUint64(raw[8:], id.Counter)
	var text [callIDDigits]byte
	hex.Encode(text[:], raw[:])
	return string(text[:])
}

// ParseCallID reads the form that String returns.
func ParseCallID(text string) (CallID, error) {
	var raw [callIDDigits / 2]byte
	if len(text) != callIDDigits {
		return CallID{}, fmt.Errorf("call id has %d characters, want %d hexadecimal digits", len(text), callIDDigits)
	}
	if _, err := hex.Decode(raw[:], []byte(text)); err != nil {
		return CallID{}, fmt.Errorf("call id %q: want hexadecimal digits: %w", text, err)
	}
	return CallID{
		Origin:  binary.BigEndian.Uint64(raw[:8]),
		Counter: binary.BigEndian.Uint64(raw[8:]),
	}, nil
}
