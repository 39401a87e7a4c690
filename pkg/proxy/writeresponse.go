package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeResponse writes a response to w and calls count with the size of each part of the
// body. The hop-by-hop headers must have been removed. It reports whether the response was
// written completely; if not, its caller must abort the response. The client must have
// received a streamed response by writeGrace after the deadline.
func writeResponse(w http.ResponseWriter, method string, a *response, deadline time.Time, count func(n int)) (whole bool) {
	h := w.Header()
	for name, values := range a.header {
		if _, ok := h[name]; !ok {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	for name := range a.trailer {
		h.Add("Trailer", name)
	}
	hasBody := method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified
	if a.remainder == nil && hasBody && len(a.trailer) == 0 {
		setHeader(h, "Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	if !hasBody {
		return true
	}
	if len(a.body) > 0 {
		count(len(a.body))
		if _, err := w.Write(a.body); err != nil {
			return false
		}
	}
	if a.remainder != nil && !writeRemainder(w, a, deadline, count) {
		return false
	}
	for name, values := range a.trailer {
		h[name] = values
	}
	return true
}

// writeRemainder copies the part of the body that is not yet read. Parts of a body of unknown
// length are flushed as they arrive.
func writeRemainder(w http.ResponseWriter, a *response, deadline time.Time, count func(n int)) bool {
	buf := getCopyBuffer()
	defer putCopyBuffer(buf)
	flush := a.remainder.resp.ContentLength < 0
	controller := http.NewResponseController(w)
	// Without a limit, a client whose connection is stalled would block the call.
	if controller.SetWriteDeadline(deadline.Add(writeGrace)) != nil {
		return false
	}
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	if flush && controller.Flush() != nil {
		return false
	}
	for {
		n, err := a.remainder.Read(*buf)
		if n > 0 {
			count(n)
			if _, writeErr := w.Write((*buf)[:n]); writeErr != nil {
				return false
			}
			if flush && controller.Flush() != nil {
				return false
			}
		}
		if err == io.EOF {
			a.trailer = a.remainder.resp.Trailer
			return true
		}
		if err != nil {
			return false
		}
	}
}
