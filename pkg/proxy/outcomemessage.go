package proxy

import "corianderwood.example/corianderwood/pkg/ledger"

// outcomePath is the path of outcome queries on the peer listener. Requests with a
// call id are calls, whatever their path.
const outcomePath = "/peer/v1/outcome"

// outcomeQuery is the CBOR body of an outcome query.
type outcomeQuery struct {
	ID     ledger.CallID `cbor:"1,keyasint"`
	Target Target        `cbor:"2,keyasint"`
	// Probe queries only the progress of the call; Fence, Cancel and WaitMS are ignored.
	Probe bool `cbor:"3,keyasint,omitempty"`
	// Fence fences an id that has not arrived, so that a delayed call is rejected.
	Fence bool `cbor:"4,keyasint,omitempty"`
	// Cancel ends the call if it is running, because its response is no longer needed: the
	// caller disconnected, the deadline passed or the request body failed.
	Cancel bool `cbor:"5,keyasint,omitempty"`
	// WaitMS bounds how long the query waits for a running call, in milliseconds.
	WaitMS int64 `cbor:"6,keyasint,omitempty"`
}

// outcomeReply is the CBOR body of the response to an outcome query.
type outcomeReply struct {
	Report   ledger.Report `cbor:"1,keyasint"`
	Progress progress      `cbor:"2,keyasint"`
}

// progress is the state of a call at the upstream's node. It is zero for a call that has
// not arrived there or has ended.
type progress struct {
	Active bool `cbor:"1,keyasint,omitempty"`
	// BodyRead is the number of bytes of the request body received from the ingress node.
	BodyRead int64 `cbor:"2,keyasint,omitempty"`
	// AwaitsBody is set while the upstream's node waits for more of the request body.
	AwaitsBody bool `cbor:"3,keyasint,omitempty"`
	// Written is the number of response body bytes sent to the ingress node.
	Written int64 `cbor:"4,keyasint,omitempty"`
}
