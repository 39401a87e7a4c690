package ingress

import (
	"errors"
	"net"
)

var (
	errHeaderTooLarge = errors.New("the request's header exceeds the limit")
	errBodyTooLarge   = errors.New("the request's body exceeds the limit")
)

// limitedReader limits the number of bytes read while a request header is parsed. Only the
// reading goroutine of the connection uses it.
type limitedReader struct {
	inner   net.Conn
	bounded bool
	left    int
}

// limit limits the following reads to n bytes in total; 0 removes the limit.
func (h *limitedReader) limit(n int) { h.bounded, h.left = n > 0, n }

// Read implements io.Reader.
func (h *limitedReader) Read(p []byte) (int, error) {
	if h.bounded {
		if h.left <= 0 {
			return 0, errHeaderTooLarge
		}
		p = p[:min(len(p), h.left)]
	}
	n, err := h.inner.Read(p)
	h.left -= n
	return n, err
}
