package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"time"
)

// cuttingListener accepts connections of a faulty server, which breaks off its responses, or sends
// two at once, while the connection stays open.
type cuttingListener struct {
	net.Listener
	fault  cutFault
	method string // of the requests
	header string // only final responses with this header are cut
}

func (l cuttingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cuttingConn{Conn: conn, listener: l}, nil
}

// cuttingConn is a connection of a cuttingListener. The server's writes come one at a time.
type cuttingConn struct {
	net.Conn
	listener cuttingListener
	pending  []byte // the response that the server is writing
	first    []byte // the first complete response on the connection
}

func (c *cuttingConn) Write(p []byte) (int, error) {
	c.pending = append(c.pending, p...)
	resp, complete := parseWhole(c.pending, c.listener.method)
	if !complete {
		return len(p), nil
	}
	own := c.pending
	c.pending = nil
	parts := [][]byte{own}
	if resp.StatusCode >= 200 && resp.Header.Get(c.listener.header) != "" {
		if cut := c.listener.fault(own, c.first); cut != nil {
			parts = cut
		}
		if c.first == nil {
			c.first = own
		}
	}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(time.Millisecond)
		}
		if _, err := c.Conn.Write(part); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

// parseWhole parses a response and reports whether it is complete.
func parseWhole(raw []byte, method string) (*http.Response, bool) {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), &http.Request{Method: method})
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err == nil
}

// cutFault returns what a faulty server sends in place of a response, in parts, or nil for the
// response. The first response on the connection is nil while there is none.
type cutFault func(own, first []byte) [][]byte

// bodyOffset returns the length of the head of a response.
func bodyOffset(response []byte) int { return bytes.Index(response, []byte("\r\n\r\n")) + 4 }

// cutThenCopy breaks off the body and sends the response again.
func cutThenCopy(own, _ []byte) [][]byte {
	body := bodyOffset(own)
	return [][]byte{own[:body+(len(own)-body)/2], own}
}

// cutThenFirst breaks off the body where the copy of the first response reaches to its end.
func cutThenFirst(own, first []byte) [][]byte {
	cut := len(own) - len(first)
	if first == nil || cut <= bodyOffset(own) {
		return nil
	}
	return [][]byte{own[:cut], first}
}

// firstInPlaceOfPart sends the copy of the first response in place of a part of the body.
func firstInPlaceOfPart(own, first []byte) [][]byte {
	from := bodyOffset(own) + 200
	if first == nil || len(own) < from+len(first)+200 {
		return nil
	}
	return [][]byte{own[:from], first, own[from+len(first):]}
}

// copyByTurns sends the response and its copy in pieces, by turns.
func copyByTurns(own, _ []byte) [][]byte {
	var parts [][]byte
	for size := len(own)/4 + 1; len(own) > 0; own = own[min(size, len(own)):] {
		piece := own[:min(size, len(own))]
		parts = append(parts, piece, piece)
	}
	return parts
}

// cutInLastLine breaks off the last line of the head or, if there are trailers, of those, and sends
// the response again.
func cutInLastLine(own, _ []byte) [][]byte {
	return [][]byte{own[:len(own)-len("x\r\n\r\n")], own}
}
