package ledger

import "corianderwood.example/corianderwood/pkg/reason"

// Report answers an outcome query.
type Report struct {
	// Ran is "no" only if the call did not run and never will.
	Ran reason.Ran `cbor:"1,keyasint"`
	// Running tells that the call had not ended when the query's context did.
	Running bool `cbor:"2,keyasint,omitempty"`
	// Outcome is the whole response of the upstream, or nil if it is not kept.
	Outcome *Outcome `cbor:"3,keyasint,omitempty"`
}
