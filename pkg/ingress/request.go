package ingress

import (
	"net/http"
	"time"

	"corianderwood.example/corianderwood/pkg/boundedio"
)

// Request is one request of a client with its complete body.
type Request struct {
	Method string
	// URI is the request target as the client sent it.
	URI  string
	Host string
	// Path is the path of the URI, with its escapes.
	Path   string
	Header http.Header
	Body   []byte
	// Held is the number of bytes that the request is counted with.
	Held int
	// Received is when the header had been read.
	Received time.Time

	holder *boundedio.Holder // of the connection; nil in tests
}

// SetAccount names the account of the request in reports of the memory that the connection holds.
// The string must not change.
func (r *Request) SetAccount(name *string) {
	if r.holder != nil {
		r.holder.SetAccount(name)
	}
}
