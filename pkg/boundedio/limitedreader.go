package boundedio

import (
	"bytes"
	"errors"
	"io"
)

// ErrHeaderTooLarge means that more bytes were read than the header of a message may have.
var ErrHeaderTooLarge = errors.New("the header of the message exceeds the limit")

var lineEnd = []byte{'\n'}

// LimitedReader limits the number of bytes read while a message header is parsed. It is
// not safe for concurrent use.
type LimitedReader struct {
	inner   io.Reader
	bounded bool
	left    int
	err     error // the last error of inner since the last call of Limit
	head    *Hold // grows with what a header costs the heap; nil if that is not counted
}

// NewLimitedReader returns a reader of inner without a limit.
func NewLimitedReader(inner io.Reader) *LimitedReader { return &LimitedReader{inner: inner} }

// Limit limits the following reads to n bytes in total; 0 removes the limit.
func (r *LimitedReader) Limit(n int) { r.bounded, r.left, r.err, r.head = n > 0, n, nil, nil }

// Charge makes hold grow with what the header costs the heap whose bytes are read, until the next
// call of Limit. If the budget is exhausted, reads fail.
func (r *LimitedReader) Charge(hold *Hold) { r.head = hold }

// Read implements io.Reader. It returns ErrHeaderTooLarge once the limit is reached.
func (r *LimitedReader) Read(p []byte) (int, error) {
	if r.bounded {
		if r.left <= 0 {
			return 0, ErrHeaderTooLarge
		}
		p = p[:min(len(p), r.left)]
	}
	n, err := r.inner.Read(p)
	r.left -= n
	if r.head != nil && n > 0 {
		if charged := r.head.Grow(n + FieldCost*bytes.Count(p[:n], lineEnd)); charged != nil {
			r.err = charged
			return 0, charged
		}
	}
	if err != nil {
		r.err = err
	}
	return n, err
}

// Err returns the last error of the inner reader since the last call of Limit. Parsers may replace it: net/http takes the
// part of a line that arrived before a time-out for a line.
func (r *LimitedReader) Err() error { return r.err }
