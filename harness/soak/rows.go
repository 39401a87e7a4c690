package soak

import "github.com/fxamacker/cbor/v2"

// withAddress replaces the address in a node's row with the given one. A row that
// can't be decoded is returned unchanged.
func withAddress(value []byte, address string) []byte {
	var row struct {
		Address string `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(value, &row); err != nil {
		return value
	}
	row.Address = address
	out, err := cbor.Marshal(row)
	if err != nil {
		return value
	}
	return out
}
