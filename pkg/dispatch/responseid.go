package dispatch

import (
	"bytes"
	"strings"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/reason"
)

// ownResponse returns the response if it is the one to the request, or else that the outcome is
// unknown. A response without an id is taken for the request's: the node beside the server has
// checked that it is.
func (x *exchange) ownResponse(res call.Response) call.Response {
	id, ok := headerValue(res.Head, x.dispatcher.opts.Headers.RequestID)
	if !ok || id == x.req.ID {
		return res
	}
	x.dispatcher.opts.Metrics.foreignResponses.Inc()
	x.dispatcher.log.Write(event.RequestResponseForeign, "request", x.req.ID, "received", id, "status", res.Status)
	return call.Response{Refusal: reason.ResponseLost, Ran: reason.RanUnknown, ReachedServer: true, Load: res.Load}
}

// headerValue returns the value of the first line with the name in encoded headers, and whether
// there is one.
func headerValue(head []byte, name string) (string, bool) {
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		field, value, ok := bytes.Cut(line, []byte(":"))
		if ok && strings.EqualFold(string(field), name) {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
