package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"corianderwood.example/corianderwood/pkg/ledger"
)

// Headers defined by this project, in canonical form. The first five are set on requests,
// HeaderExchange on both, the others on responses. Callers may set only HeaderDeadline and
// HeaderDepth, upstreams only HeaderRetry; a service that calls the mesh while it serves a
// call passes them on. An upstream may repeat HeaderCallID, and its responses are then checked.
const (
	HeaderCallID     = "Corianderwood-Call-Id"     // id of the attempt
	HeaderTarget     = "Corianderwood-Target"      // Target that must serve the call
	HeaderDeadline   = "Corianderwood-Deadline-Ms" // remaining time in milliseconds
	HeaderDepth      = "Corianderwood-Depth"       // number of calls in the chain so far
	HeaderRepeatable = "Corianderwood-Repeatable"  // whether the call may run more than once
	HeaderExchange   = "Corianderwood-Exchange-Id" // between nodes only: number of the exchange on its connection, repeated in the response
	HeaderRefused    = "Corianderwood-Refused"     // a reason.Refusal; missing if the upstream responded
	HeaderRan        = "Corianderwood-Ran"         // a reason.Ran
	HeaderLoad       = "Corianderwood-Load"        // between nodes only, see formatLoad
	HeaderVersion    = "Corianderwood-Version"     // version of the upstream that responded
	HeaderRetry      = "Corianderwood-Retry"       // retrySpent if nodes closer to the first caller must not retry

	headerPrefix = "Corianderwood-"
	retrySpent   = "spent"
)

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop deletes the hop-by-hop headers, including those named by the
// Connection header.
func removeHopByHop(h http.Header) {
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// removeMeshHeaders deletes the headers defined by this project, so that those set by a
// caller or an upstream are not passed on. The few that they may set are read before.
func removeMeshHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// forwarded returns the end-to-end headers of a request that is to be forwarded.
func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h)+6)
	for name, values := range h {
		out[name] = values
	}
	removeHopByHop(out)
	removeMeshHeaders(out)
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = []string{""} // keeps Request.Write from adding its own
	}
	return out
}

func setHeader(h http.Header, name, value string) { h[name] = []string{value} }

// setHeaders sets headers from pairs of names and values with one allocation.
func setHeaders(h http.Header, pairs ...string) {
	values := make([]string, len(pairs)/2)
	for i := range values {
		values[i] = pairs[2*i+1]
		h[pairs[2*i]] = values[i : i+1 : i+1]
	}
}

// Target identifies the node process that a call is addressed to.
type Target struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// String returns the header value "<instance>/<incarnation>".
func (t Target) String() string {
	return t.Instance + "/" + strconv.FormatUint(t.Incarnation, 10)
}

// callHeaders holds the header values that the ingress node sends with a call.
type callHeaders struct {
	id         ledger.CallID
	target     string
	timeout    time.Duration
	depth      int
	repeatable bool
}

func (c callHeaders) set(h http.Header) {
	setHeaders(h,
		HeaderCallID, c.id.String(),
		HeaderTarget, c.target,
		HeaderRepeatable, strconv.FormatBool(c.repeatable),
		HeaderDeadline, formatTimeout(c.timeout),
		HeaderDepth, strconv.Itoa(c.depth))
}

func parseCallHeaders(h http.Header) (callHeaders, error) {
	id, err := ledger.ParseCallID(h.Get(HeaderCallID))
	if err != nil {
		return callHeaders{}, err
	}
	c := callHeaders{id: id, target: h.Get(HeaderTarget)}
	if c.repeatable, err = strconv.ParseBool(h.Get(HeaderRepeatable)); err != nil {
		return callHeaders{}, fmt.Errorf("header %s: want true or false", HeaderRepeatable)
	}
	if c.timeout, err = parseTimeout(h); err != nil {
		return callHeaders{}, err
	}
	if c.timeout == 0 {
		return callHeaders{}, fmt.Errorf("header %s is missing", HeaderDeadline)
	}
	c.depth, err = parseDepth(h)
	return c, err
}

// formatTimeout formats the remaining time in whole milliseconds. It rounds up, so that
// a call with any time left doesn't arrive with none.
func formatTimeout(left time.Duration) string {
	ms := (left + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatInt(max(int64(ms), 1), 10)
}

// parseTimeout returns the remaining time of a request, at most MaxCallTimeout, or 0 if
// the header is missing.
func parseTimeout(h http.Header) (time.Duration, error) {
	text := h.Get(HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 {
		return 0, fmt.Errorf("header %s is %q: want a number of milliseconds above 0", HeaderDeadline, text)
	}
	return time.Duration(min(ms, MaxCallTimeout.Milliseconds())) * time.Millisecond, nil
}

func parseDepth(h http.Header) (int, error) {
	text := h.Get(HeaderDepth)
	if text == "" {
		return 0, nil
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 {
		return 0, fmt.Errorf("header %s is %q: want a number", HeaderDepth, text)
	}
	return depth, nil
}
