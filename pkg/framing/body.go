package framing

import (
	"errors"
	"io"
	"net/http"
)

// body is the body of a response. It does not deliver the bytes at which another response is
// found, nor the end, nor the end before a trailer that HTTP/1 doesn't allow.
type body struct {
	io.ReadCloser
	reader   *Reader
	response *http.Response
	err      error // what further reads return
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	check := b.reader.checkSoFar
	if errors.Is(err, io.EOF) {
		check = b.reader.checkWhole
	}
	if found := check(); found != nil {
		n, err = 0, found
	} else if errors.Is(err, io.EOF) {
		if invalid := checkFields(b.response.Trailer); invalid != nil {
			n, err = 0, invalid
		}
	}
	b.err = err
	return n, err
}
