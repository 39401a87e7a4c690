package proxy

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"corianderwood.example/corianderwood/pkg/ledger"
)

// answer is a response on its way to the caller. If rest is nil, body is the whole
// response body.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	trailer http.Header
	rest    *exchange
}

// readAnswer takes the response of an exchange. A body of at most bufferedBody is
// read whole if its length is known or all is set; an error means that it was cut
// short.
func readAnswer(x *exchange, all bool) (*answer, error) {
	resp := x.resp
	a := &answer{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, rest: x}
	if resp.Body == http.NoBody || resp.ContentLength == 0 {
		x.finish()
		a.rest = nil
		return a, nil
	}
	if resp.ContentLength > bufferedBody || (resp.ContentLength < 0 && !all) {
		return a, nil
	}
	size := int(resp.ContentLength) + 1 // one byte more, to read the end of the stream
	if size == 0 {
		size = 4 << 10
	}
	a.body = make([]byte, 0, size)
	for len(a.body) <= bufferedBody {
		a.body = slices.Grow(a.body, 1)
		n, err := x.Read(a.body[len(a.body):cap(a.body)])
		a.body = a.body[:len(a.body)+n]
		if err == io.EOF {
			a.rest, a.trailer = nil, resp.Trailer
			return a, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return a, nil
}

// streamsEvents reports whether a response must not be held back.
func streamsEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// kept returns the answer in the form that the ledger keeps; it must be whole.
func (a *answer) kept() ledger.Outcome {
	return ledger.Outcome{HasResponse: true, Status: a.status, Header: a.header, Body: a.body, Trailer: a.trailer}
}

// fromLedger returns the answer that a ledger kept.
func fromLedger(k *ledger.Outcome) *answer {
	return &answer{status: k.Status, header: k.Header, body: k.Body, trailer: k.Trailer}
}
