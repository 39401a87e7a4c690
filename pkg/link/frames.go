package link

import (
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/rollout"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// Hello is the first frame of each side.
type Hello struct {
	Node string `cbor:"1,keyasint"`
	// Process identifies one start of the node.
	Process uint64 `cbor:"2,keyasint"`
	// Address is where the node takes links. A node whose row the receiver does
	// not have yet is reached there.
	Address string `cbor:"3,keyasint,omitempty"`
	// FailureDomain is where the node runs.
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	// LinkBytesPerSecond is the rate of the instance's network link; 0 is unknown.
	LinkBytesPerSecond float64 `cbor:"5,keyasint,omitempty"`
}

// ServerState tells the state of the server beside the sender.
type ServerState struct {
	Known         bool   `cbor:"1,keyasint,omitempty"`
	Service       string `cbor:"2,keyasint,omitempty"`
	Version       string `cbor:"3,keyasint,omitempty"`
	Incarnation   string `cbor:"4,keyasint,omitempty"`
	FailureDomain string `cbor:"5,keyasint,omitempty"`
	Slots         int    `cbor:"6,keyasint,omitempty"`
	// Draining tells that the server takes no new requests.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// Stopping tells that the node stops, while the server goes on.
	Stopping bool `cbor:"10,keyasint,omitempty"`
	// FailureRate is the recent share of requests that the server failed, 0 to 1.
	FailureRate float64 `cbor:"11,keyasint,omitempty"`
	// WarmUpMs is how much longer the server is slow, in milliseconds.
	WarmUpMs int64 `cbor:"8,keyasint,omitempty"`
	// LinkBytesPerSecond is the rate of the instance's network link; 0 is unknown.
	LinkBytesPerSecond float64 `cbor:"9,keyasint,omitempty"`
}

// PreviousServer tells a restarted node what its previous process said of the server beside it.
type PreviousServer struct {
	Server ServerState `cbor:"1,keyasint"`
}

// requestFrame carries a call.Request; times are what is left, in microseconds.
type requestFrame struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	ID       string
	Method   string
	Head     []byte
	Body     []byte
	Route    string
	Kind     uint8
	Service  string
	Instance string
	Priority int
	Nested   bool
	Left     int64
	OnTime   int64
	Call     ledger.CallID
}

// responseFrame carries a call.Response; times are in microseconds.
type responseFrame struct {
	_           struct{} `cbor:",toarray"`
	Sequence    uint64
	Status      int
	Head        []byte
	Body        []byte
	Refusal     reason.Refusal
	Ran         reason.Ran
	Arrived     bool
	RetryAfter  int64
	Running     int
	Waiting     int
	Slots       int
	ServiceTime int64
	FailureRate float64
	Uplink      int64
}

// cancelFrame ends a request whose caller has left.
type cancelFrame struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// outcomeFrame asks what became of a call; a responseFrame answers.
type outcomeFrame struct {
	Sequence uint64        `cbor:"1,keyasint"`
	Call     ledger.CallID `cbor:"2,keyasint"`
	Left     int64         `cbor:"3,keyasint"`
}

// Versions tells up to which version the sender's copy of each table is complete.
type Versions struct {
	Tables map[string]uint64 `cbor:"1,keyasint"`
	// Configuration is the version that the sender has in force; 0 is none.
	Configuration uint64 `cbor:"2,keyasint,omitempty"`
	// Following tells that the sender follows the store's feeds.
	Following bool `cbor:"3,keyasint,omitempty"`
}

// RowsRequest asks for the rows of a table that changed after a version.
type RowsRequest struct {
	Table string `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint"`
}

// Rows answers RowsWanted.
type Rows struct {
	Table   string         `cbor:"1,keyasint"`
	Rows    []rowcache.Row `cbor:"2,keyasint"`
	Version uint64         `cbor:"3,keyasint"`
	// Accepted is the newest row that the sender has put in force, if that is not
	// the newest row of the table.
	Accepted *rowcache.Row `cbor:"4,keyasint,omitempty"`
}

// Evidence tells what the sender's server did in a roll-out.
type Evidence struct {
	Evidence rollout.Evidence `cbor:"1,keyasint"`
}
