package proxy

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
)

// cutRequests is the number of requests that a test sends one after the other.
const cutRequests = 12

// Sizes of the bodies of answerAtLength, in bytes.
const (
	shortBody    = 300
	mediumBody   = 4 << 10
	streamedBody = 3 * bufferedBody
)

// bodyOf returns the body of the response to the request with the given X-Id.
func bodyOf(id, path string) string {
	size := mediumBody
	switch {
	case strings.HasSuffix(id, "short"):
		size = shortBody
	case strings.Contains(path, "streamed"):
		size = streamedBody
	}
	return strings.Repeat(id+";", size/len(id))
}

// answerAtLength responds with bodyOf the X-Id of the request, if the path asks for it also with its
// call id, and with the framing that the path names.
func answerAtLength(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Id")
	body := bodyOf(id, r.URL.Path)
	if strings.Contains(r.URL.Path, "with-id") {
		w.Header().Set(HeaderCallID, r.Header.Get(HeaderCallID))
	}
	w.Header().Set(headerAnswers, id)
	// Else net/http would write these two behind X-Last, which is to be the last line of the head.
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("X-Last", "last "+id)
	switch {
	case strings.Contains(r.URL.Path, "trailer"):
		w.Header().Set("Trailer", "X-Sum")
		fmt.Fprint(w, body)
		w.Header().Set("X-Sum", "sum "+id)
		return
	case !strings.Contains(r.URL.Path, "chunked"):
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	fmt.Fprint(w, body)
}

// cutPeerResponses replaces the node of n's upstream by one with a fault.
func (m *mesh) cutPeerResponses(n *testNode, fault cutFault, method, header string) {
	l := listen(m.t)
	n.peer = NewPeerServer(PeerOptions{Target: Target{n.instance, n.incarnation}, Upstream: n.source,
		Limiter: n.limiter, Ledger: n.ledger, Metrics: m.metrics})
	peer := n.peer
	go func() { _ = peer.Serve(cuttingListener{tls.NewListener(l, m.server), fault, method, header}) }()
	m.t.Cleanup(func() { peer.Close() })
	n.dialAddr = l.Addr().String()
	m.update()
}

// cutUpstreamResponses replaces the upstream of n by one with a fault.
func (m *mesh) cutUpstreamResponses(n *testNode, fault cutFault, method string) {
	l := listen(m.t)
	server := &http.Server{Handler: n.handler}
	go func() { _ = server.Serve(cuttingListener{l, fault, method, headerAnswers}) }()
	m.t.Cleanup(func() { server.Close() })
	n.source.mu.Lock()
	n.source.up.Address = l.Addr().String()
	n.source.mu.Unlock()
}

// cutResult counts how requests ended, by what their callers saw.
type cutResult struct{ whole, refused, incomplete, filledUp int }

// isOwn reports whether a response is the whole one to the request with the given X-Id.
func isOwn(got result, id, method, path string) bool {
	body, sum := bodyOf(id, path), ""
	if method == http.MethodHead {
		body = ""
	}
	if strings.Contains(path, "trailer") {
		sum = "sum " + id
	}
	_, err := http.ParseTime(got.header.Get("Date"))
	return got.body == body && got.header.Get(headerAnswers) == id && got.header.Get("X-Last") == "last "+id &&
		got.trailer.Get("X-Sum") == sum && err == nil
}

// sendToCutting sends requests one after the other, for short and long responses by turns. No refusal
// may say that the request has not run.
func (m *mesh) sendToCutting(method, path string) cutResult {
	m.t.Helper()
	var count cutResult
	client := newClient(m.t)
	for i := range cutRequests {
		id := fmt.Sprint(method, path, i, "-", []string{"short", "long"}[i%2])
		var body io.Reader
		if strings.Contains(path, "upload") {
			body = io.MultiReader(strings.NewReader(id)) // of unknown length, so it is streamed
		}
		got := m.do(m.t.Context(), client, method, path, body, http.Header{"X-Id": {id}})
		switch why := got.header.Get(HeaderRefused); {
		case got.err != nil:
			count.incomplete++
		case why != "":
			count.refused++
			if ran := got.header.Get(HeaderRan); ran == string(reason.RanNo) {
				m.t.Errorf("%s: refused as %s, ran %q", id, why, ran)
			}
		case isOwn(got, id, method, path):
			count.whole++
		default:
			count.filledUp++
		}
	}
	m.t.Logf("%+v", count)
	if count.filledUp > 0 {
		m.t.Errorf("%d of %d calls got a response that is filled up by another one", count.filledUp, cutRequests)
	}
	return count
}

// cutCases are the requests for which responses of an upstream or a node are cut.
var cutCases = []struct {
	name         string
	fault        cutFault
	method, path string
}{
	{"copy", cutThenCopy, "GET", "/buffered"},
	{"copy", cutThenCopy, "GET", "/streamed"},
	{"copy", cutThenCopy, "POST", "/buffered"},
	{"copy", cutThenCopy, "POST", "/streamed"},
	{"copy", cutThenCopy, "POST", "/upload"},
	{"copy", cutThenCopy, "GET", "/chunked"},
	{"first", cutThenFirst, "GET", "/buffered"},
	{"first", cutThenFirst, "GET", "/streamed"},
	{"first", cutThenFirst, "POST", "/buffered"},
	{"turns", copyByTurns, "GET", "/buffered"},
	{"turns", copyByTurns, "GET", "/streamed"},
	{"turns", copyByTurns, "POST", "/chunked"},
	{"last-line", cutInLastLine, "GET", "/trailer"},
	{"last-line", cutInLastLine, "GET", "/trailer/streamed"},
	{"last-line", cutInLastLine, "HEAD", "/head"},
}

// Guards against a response of an upstream that is broken off, filled up by the bytes of another one, and passes
// as whole.
func TestCutResponsesOfUpstream(t *testing.T) {
	for _, prefix := range []string{"", "/with-id"} {
		for _, tc := range cutCases {
			t.Run(tc.name+tc.method+prefix+tc.path, func(t *testing.T) {
				m := newMesh(t, defaultService(), http.HandlerFunc(answerAtLength))
				m.cutUpstreamResponses(m.nodes[0], tc.fault, tc.method)
				m.sendToCutting(tc.method, prefix+tc.path)
			})
		}
	}
}

// Guards against the same between nodes. Calls that may run only once must get their own response by
// an outcome query, unless it is too long for the ledger.
func TestCutResponsesBetweenNodes(t *testing.T) {
	for _, tc := range cutCases {
		t.Run(tc.name+tc.method+tc.path, func(t *testing.T) {
			m := newMesh(t, defaultService(), http.HandlerFunc(answerAtLength))
			m.cutPeerResponses(m.nodes[0], tc.fault, tc.method, headerAnswers)
			count := m.sendToCutting(tc.method, tc.path)
			if tc.method == "POST" && tc.path != "/streamed" && count.whole+count.filledUp < cutRequests {
				t.Errorf("%d of %d calls got their own response", count.whole, cutRequests)
			}
		})
	}
}

// Guards against a copy that takes the place of a part of a response, where the copy names its exchange.
func TestCopyInPlaceOfPartOfResponse(t *testing.T) {
	for _, path := range []string{"/with-id/buffered", "/with-id/streamed", "/with-id/chunked"} {
		t.Run("upstream"+path, func(t *testing.T) {
			m := newMesh(t, defaultService(), http.HandlerFunc(answerAtLength))
			m.cutUpstreamResponses(m.nodes[0], firstInPlaceOfPart, "GET")
			m.sendToCutting("GET", path)
		})
		t.Run("node"+path, func(t *testing.T) {
			m := newMesh(t, defaultService(), http.HandlerFunc(answerAtLength))
			m.cutPeerResponses(m.nodes[0], firstInPlaceOfPart, "GET", headerAnswers)
			m.sendToCutting("GET", path)
		})
	}
}

// Guards against a stored response of which a copy of another outcome takes the place of a part.
func TestCutResponsesToOutcomeQueries(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(echo))
	n := m.nodes[0]
	m.cutPeerResponses(n, firstInPlaceOfPart, "POST", HeaderExchange)
	now, filledUp := time.Now(), 0
	for i := range cutRequests {
		id := m.callerServer.ids.next()
		if why := n.ledger.Admit(now, id, now.Add(time.Minute)); why != "" {
			t.Fatal(why)
		}
		body := []byte(strings.Repeat(fmt.Sprint(i, ";"), 10+100*i))
		n.ledger.Finish(now, id, ledger.Outcome{Ran: reason.RanYes, HasResponse: true, Status: 200, Body: body})
		reply, err := m.callerServer.outcomes.sendQuery(t.Context(), n.dialAddr,
			outcomeQuery{ID: id, Target: Target{n.instance, n.incarnation}, WaitMS: 15})
		if err == nil && (reply.Report.Outcome == nil || !bytes.Equal(reply.Report.Outcome.Body, body)) {
			filledUp++
		}
	}
	if filledUp > 0 {
		t.Errorf("%d of %d outcome queries got an outcome that holds another one", filledUp, cutRequests)
	}
}
