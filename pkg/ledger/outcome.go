package ledger

import (
	"net/http"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Outcome is how a call ended. The zero value means that the upstream ran the call
// and that its response was not kept.
type Outcome struct {
	// Ran is empty for "yes".
	Ran reason.Ran `cbor:"1,keyasint,omitempty"`
	// HasResponse tells that Status, Header, Body and Trailer hold the whole response.
	HasResponse bool        `cbor:"2,keyasint,omitempty"`
	Status      int         `cbor:"3,keyasint,omitempty"`
	Header      http.Header `cbor:"4,keyasint,omitempty"`
	Body        []byte      `cbor:"5,keyasint,omitempty"`
	Trailer     http.Header `cbor:"6,keyasint,omitempty"`
}
