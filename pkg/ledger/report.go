package ledger

import "corianderwood.example/corianderwood/pkg/reason"

// Report is the result of an outcome query.
type Report struct {
	// Ran is "no" only if the call did not run and can't run later.
	Ran reason.Ran `cbor:"1,keyasint"`
	// Running is set if the call was still running when the query's context ended.
	Running bool `cbor:"2,keyasint,omitempty"`
	// Outcome holds the complete response of the upstream, or is nil if it is not stored.
	Outcome *Outcome `cbor:"3,keyasint,omitempty"`
}
