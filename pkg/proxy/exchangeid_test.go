package proxy

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a rolling restart in which calls fail between nodes of which one does not
// know HeaderExchange.
func TestNodesWithoutExchangeIDs(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(echo))
	n := m.nodes[0]
	l := listen(t)
	older := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(HeaderExchange)
		n.peer.ServeHTTP(w, r)
	})}
	go func() { _ = older.Serve(tls.NewListener(l, m.server)) }()
	t.Cleanup(func() { older.Close() })
	n.dialAddr = l.Addr().String()
	m.update()
	client := newClient(t)
	for _, method := range []string{"GET", "POST", "GET"} {
		if got := m.do(t.Context(), client, method, "/x", strings.NewReader(""), nil); got.err != nil || got.status != http.StatusOK {
			t.Errorf("%s over an older node: status %d, error %v", method, got.status, got.err)
		}
	}
	target := Target{n.instance, n.incarnation}
	if _, err := m.callerServer.outcomes.sendQuery(t.Context(), n.dialAddr, outcomeQuery{Target: target}); err != nil {
		t.Errorf("an outcome query to an older node: %v", err)
	}
	req := httptest.NewRequest("GET", "/x", nil)
	callHeaders{id: m.callerServer.ids.next(), target: target.String(), timeout: time.Second}.set(req.Header)
	w := httptest.NewRecorder()
	n.peer.ServeHTTP(w, req)
	if w.Code != http.StatusOK || len(w.Header()[HeaderExchange]) > 0 {
		t.Errorf("a call of an older node: status %d, headers %v", w.Code, w.Header())
	}
}

// Guards against responses of other exchanges that are accepted, and own ones that are not.
func TestExchangeIDIsForeign(t *testing.T) {
	id := exchangeID{HeaderExchange, "7"}
	for _, tc := range []struct {
		response http.Header
		want     bool
	}{
		{http.Header{}, false},
		{http.Header{HeaderExchange: {"7"}}, false},
		{http.Header{HeaderExchange: {"6"}}, true},
		{http.Header{HeaderExchange: {""}}, true},
		{http.Header{HeaderCallID: {"6"}}, false},
	} {
		if got := id.isForeign(tc.response); got != tc.want {
			t.Errorf("%v: foreign %v, want %v", tc.response, got, tc.want)
		}
	}
}
