package quota

import "time"

// Grant answers a report.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	Stripe int
	// Report is the number of the report.
	Report uint64
	// Process is the process of the coordinator. Number increases with each of its grants to
	// the same process of a node.
	Process uint64
	Number  uint64
	// Now is the coordinator's time.
	Now Time
	// Holds means that the coordinator holds the lease of the node's share.
	Holds bool
	// Coverage is the part of all shares that is leased to the coordinator, 0 to 1.
	Coverage float64
	// TokenLife is how long the tokens are valid from the sending of the report.
	TokenLife time.Duration
	Tokens    []Tokens
}
