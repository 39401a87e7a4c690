package dispatch

import (
	"net/http"
	"strconv"
	"strings"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/ingress"
	"corianderwood.example/corianderwood/pkg/routing"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// headEncoder encodes the request line and the headers that are sent to servers.
type headEncoder struct {
	callerHeader  string          // header line that names the local service
	accountHeader string          // name of the header that names the account
	dropped       map[string]bool // headers that the node sets itself
}

func newHeadEncoder(headers call.Headers, service string) headEncoder {
	dropped := make(map[string]bool)
	for _, name := range []string{headers.CallerService, headers.Deadline, headers.ExpectInstance, headers.Account} {
		dropped[http.CanonicalHeaderKey(name)] = true
	}
	return headEncoder{callerHeader: headers.CallerService + ": " + service + "\r\n", accountHeader: headers.Account, dropped: dropped}
}

// encode encodes the head of a request. The Authorization header is forwarded only if
// the table has no accounts: otherwise it may hold a key.
func (e headEncoder) encode(r *ingress.Request, table *routing.Table, a *account.Account) []byte {
	out := make([]byte, 0, 512)
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.URI...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, r.Host...)
	out = append(out, "\r\n"...)
	named := connectionTokens(r.Header)
	for name, values := range r.Header {
		if hopByHopHeaders[name] || e.dropped[name] || named[name] || name == authorizationHeader && table.Accounts != nil {
			continue
		}
		for _, v := range values {
			out = append(out, name...)
			out = append(out, ": "...)
			out = append(out, v...)
			out = append(out, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(r.Body)), 10)
		out = append(out, "\r\n"...)
	}
	if a != nil {
		out = append(out, e.accountHeader...)
		out = append(out, ": "...)
		out = append(out, a.Name...)
		out = append(out, "\r\n"...)
	}
	return append(out, e.callerHeader...)
}

// connectionTokens returns the header names listed in the Connection header.
func connectionTokens(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, v := range values {
		for _, token := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return named
}
