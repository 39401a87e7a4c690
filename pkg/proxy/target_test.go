package proxy

import (
	"net/http"
	"testing"
)

// Guards against a node that, after its incarnation was raised, refuses calls for the new
// incarnation or accepts calls for the previous one.
func TestSetTarget(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	client := newClient(t)
	n := m.nodes[0]
	n.incarnation++
	n.peer.SetTarget(Target{n.instance, n.incarnation})
	stale := m.do(t.Context(), client, http.MethodPost, "/x", nil, nil)
	if stale.status != http.StatusServiceUnavailable || stale.header.Get(HeaderRefused) != "stale-target" || stale.header.Get(HeaderRan) != "no" {
		t.Errorf("a call for the previous incarnation: status %d, header %v; want 503, stale-target, not run", stale.status, stale.header)
	}
	m.update()
	if current := m.do(t.Context(), client, http.MethodPost, "/x", nil, nil); current.status != http.StatusOK {
		t.Errorf("a call for the new incarnation: status %d, header %v; want 200", current.status, current.header)
	}
}
