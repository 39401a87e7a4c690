package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// Response is the answer to one request.
type Response struct {
	Status int
	// Head holds header lines, each with its line end, without those that
	// concern the connection or the length.
	Head []byte
	Body []byte
	// SoftDeadline is when the client should have the response; the most urgent of several
	// large ones goes first.
	SoftDeadline time.Time
	// Close asks to close the connection after the response.
	Close bool
}

// append adds the encoded response to out.
func (r Response) append(out []byte, method string, closing bool) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(r.Status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(r.Status)...)
	out = append(out, "\r\n"...)
	out = append(out, r.Head...)
	if r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(r.Body)), 10)
		out = append(out, "\r\n"...)
	}
	if closing {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	if method != http.MethodHead {
		out = append(out, r.Body...)
	}
	return out
}
