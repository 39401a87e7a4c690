package proxy

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"corianderwood.example/corianderwood/pkg/ledger"
)

// response is a response that is to be passed on to the sender of the request: the caller
// or the ingress node. If remainder is nil, body is the complete response body; otherwise
// the rest is read from remainder.
type response struct {
	status    int
	header    http.Header
	body      []byte
	trailer   http.Header
	remainder *exchange
}

// readResponse returns the response of an exchange. A body of at most bufferedBody bytes
// is read completely if its length is known or all is set; an error means that it was
// truncated.
func readResponse(x *exchange, all bool) (*response, error) {
	resp := x.resp
	a := &response{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, remainder: x}
	if resp.Body == http.NoBody || resp.ContentLength == 0 {
		x.finish()
		a.remainder = nil
		return a, nil
	}
	if resp.ContentLength > bufferedBody || (resp.ContentLength < 0 && !all) {
		return a, nil
	}
	size := int(resp.ContentLength) + 1 // one byte more, so that a read returns io.EOF
	if size == 0 {
		size = 4 << 10
	}
	a.body = make([]byte, 0, size)
	for len(a.body) <= bufferedBody {
		a.body = slices.Grow(a.body, 1)
		n, err := x.Read(a.body[len(a.body):cap(a.body)])
		a.body = a.body[:len(a.body)+n]
		if err == io.EOF {
			a.remainder, a.trailer = nil, resp.Trailer
			return a, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return a, nil
}

// isEventStream reports whether a response is an event stream, which must not be
// buffered.
func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// toOutcome converts the response, which must be complete, to the form stored in the ledger.
func (a *response) toOutcome() ledger.Outcome {
	return ledger.Outcome{HasResponse: true, Status: a.status, Header: a.header, Body: a.body, Trailer: a.trailer}
}

// fromOutcome converts a response that was stored in a ledger.
func fromOutcome(k *ledger.Outcome) *response {
	return &response{status: k.Status, header: k.Header, body: k.Body, trailer: k.Trailer}
}
