package ledger

import (
	"net/http"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Outcome is the outcome of a call that has ended. The zero value means that the
// upstream ran the call and that its response is not stored.
type Outcome struct {
	// Ran tells whether the upstream started the call; empty means "yes".
	Ran reason.Ran `cbor:"1,keyasint,omitempty"`
	// HasResponse reports that Status, Header, Body and Trailer hold the complete response.
	HasResponse bool        `cbor:"2,keyasint,omitempty"`
	Status      int         `cbor:"3,keyasint,omitempty"`
	Header      http.Header `cbor:"4,keyasint,omitempty"`
	Body        []byte      `cbor:"5,keyasint,omitempty"`
	Trailer     http.Header `cbor:"6,keyasint,omitempty"`
}
