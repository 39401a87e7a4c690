package framing

import (
	"errors"
	"io"
)

// body is the body of a response. It does not deliver the bytes at which another response is
// found, nor the end.
type body struct {
	io.ReadCloser
	reader *Reader
	err    error // what further reads return
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
	}
	b.err = err
	return n, err
}
