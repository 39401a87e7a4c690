package quota

import "time"

// Report asks a coordinator for tokens, and leases the share of the sending node to it.
type Report struct {
	_      struct{} `cbor:",toarray"`
	Stripe int
	// Number increases with each report of the process.
	Number uint64
	// Coordinator is the process of the coordinator to which Echo and Received refer; 0 if it
	// has not answered yet.
	Coordinator uint64
	// Echo is the coordinator's time in the last grant, Age how long ago that arrived.
	Echo Time
	Age  time.Duration
	// Lease is how long the sender's share is leased to the coordinator from the time of
	// sending; 0 means that it is not.
	Lease time.Duration
	// Received is the number of the last grant whose tokens Demands includes.
	Received uint64
	Demands  []Demand
}
