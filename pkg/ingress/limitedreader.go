package ingress

import (
	"errors"
	"net"
)

var (
	errHeadTooLarge = errors.New("the request's header exceeds the limit")
	errBodyTooLarge = errors.New("the request's body exceeds the limit")
)

// headReader bounds what is read while a header is parsed. Only the reading
// goroutine uses it.
type headReader struct {
	inner   net.Conn
	bounded bool
	left    int
}

// limit bounds the following reads to n bytes in total; 0 lifts the bound.
func (h *headReader) limit(n int) { h.bounded, h.left = n > 0, n }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.bounded {
		if h.left <= 0 {
			return 0, errHeadTooLarge
		}
		p = p[:min(len(p), h.left)]
	}
	n, err := h.inner.Read(p)
	h.left -= n
	return n, err
}
