package member

// Member is the replicated record of one instance and its node.
type Member struct {
	Instance      string `cbor:"1,keyasint"`
	FailureDomain string `cbor:"2,keyasint"`
	Region        string `cbor:"3,keyasint"`
	// ControlAddr is the UDP address of the node's QUIC listener.
	ControlAddr string `cbor:"4,keyasint"`
	// CallAddr is the TCP address of the node's listener for calls from peers.
	CallAddr string `cbor:"5,keyasint"`
	// Incarnation identifies the process and its ledger. A later process of the
	// instance has a higher one.
	Incarnation uint64 `cbor:"6,keyasint"`
	// Sequence orders the updates of one incarnation.
	Sequence uint64   `cbor:"7,keyasint"`
	State    State    `cbor:"8,keyasint"`
	Upstream Upstream `cbor:"9,keyasint,omitempty"`
	// InForce is the configuration revision that the node last reported in force.
	InForce uint64 `cbor:"10,keyasint,omitempty"`
}
