package framing

import (
	"errors"
	"io"
)

// body is the body of a response. Each read looks for another response within.
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
	if found := check(); b.reader.found == nil {
		b.reader.found = found
	}
	b.err = err
	return n, err
}
