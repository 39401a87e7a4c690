package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// Response is the response to one request.
type Response struct {
	Status int
	// Head holds header lines, each terminated by CRLF, without the hop-by-hop headers
	// and Content-Length.
	Head []byte
	Body []byte
	// SoftDeadline is the time by which the client should have received the response. Among
	// large responses that wait to be sent, the most urgent one goes first.
	SoftDeadline time.Time
	// Close requests that the connection be closed after the response. It has no effect if
	// further requests have been read from the connection.
	Close bool
}

// appendHead adds the encoded head of the response to out.
func (r Response) appendHead(out []byte, closing bool) []byte {
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
	return append(out, "\r\n"...)
}
