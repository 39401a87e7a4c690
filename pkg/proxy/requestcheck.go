package proxy

import (
	"net/http"

	"corianderwood.example/corianderwood/pkg/reason"
)

// checkRequest refuses requests that can't be forwarded.
func checkRequest(r *http.Request, maxBody int64) (refusal, bool) {
	bad := func(status int, message string) (refusal, bool) {
		return refusal{reason: reason.BadRequest, ran: reason.RanNo, message: message, status: status}, false
	}
	switch {
	case !r.ProtoAtLeast(1, 1):
		return bad(http.StatusHTTPVersionNotSupported, "HTTP/1.0 can't tell a cut answer from a whole one: use HTTP/1.1")
	case r.Method == http.MethodConnect:
		return bad(http.StatusNotImplemented, "CONNECT is not supported: send the request itself")
	case len(r.Header["Upgrade"]) > 0:
		return bad(http.StatusNotImplemented, "protocol upgrades are not supported: send the request without the Upgrade header")
	case r.ContentLength > maxBody:
		return bad(http.StatusRequestEntityTooLarge, "the request body exceeds the limit: send it in parts")
	}
	return refusal{}, true
}
