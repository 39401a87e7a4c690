package proxy

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/upstream"
)

// allAnswered fails the test unless every call got its whole answer.
func (p *proof) allAnswered() {
	p.t.Helper()
	for id, got := range p.answers {
		if got.err != nil || got.status != http.StatusOK {
			p.t.Errorf("%s: status %d, refused %q, error %v", id, got.status, got.header.Get(HeaderRefused), got.err)
		}
	}
}

// Guards against requests cut off when upstreams drain one after the other under
// load and exit as soon as the drain returns (I8, I9).
func TestProofUpstreamDrain(t *testing.T) {
	p := newProof(t, 3, 30*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), proofTime)
	defer cancel()
	go func() {
		p.awaitCalls(callsBefore)
		for i := 0; ctx.Err() == nil; i++ {
			n := p.nodes[i%len(p.nodes)]
			// The other nodes hear of the drain after late calls have arrived.
			heard := time.AfterFunc(20*time.Millisecond, func() { p.update(n) })
			n.drainWith(t, upstream.NewRegistry(nil))
			heard.Stop()
			p.update(n)
			n.startUpstream(t)
			p.update()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	p.load(ctx, 12)
	p.check()
	p.allAnswered()
	p.report("upstream drain")
}

// drainWith drains the upstream through the announce API and closes it with force
// once the drain returns, so that a call still running would be cut off.
func (n *testNode) drainWith(t *testing.T, registry *upstream.Registry) {
	n.source.mu.Lock()
	old := n.source.up
	n.source.mu.Unlock()
	if err := registry.Announce(time.Now(), upstream.Announcement{Service: "svc", Version: "v1", Address: old.Address}); err != nil {
		t.Error(err)
		return
	}
	n.source.mu.Lock()
	n.source.registry = registry
	n.source.mu.Unlock()
	w := httptest.NewRecorder()
	upstream.NewAPI(registry, n.peer.RunningAt).Handler().ServeHTTP(w, httptest.NewRequest("DELETE", upstream.AnnouncePath, nil))
	if !strings.Contains(w.Body.String(), `"drained":true`) {
		t.Errorf("drain: %s", w.Body)
	}
	n.upstream.Close()
	n.source.mu.Lock()
	n.source.registry = nil
	n.source.mu.Unlock()
}

// Guards against requests cut off by the planned stop of a node: the node refuses
// late arrivals as not run, finishes the running calls and answers queries.
func TestProofNodeStop(t *testing.T) {
	p := newProof(t, 3, 30*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), proofTime)
	defer cancel()
	go func() {
		p.awaitCalls(callsBefore)
		for i := 0; ctx.Err() == nil; i++ {
			n := p.nodes[i%len(p.nodes)]
			heard := time.AfterFunc(20*time.Millisecond, func() { p.update(n) })
			stop, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			if err := n.peer.Shutdown(stop); err != nil {
				t.Errorf("shutdown: %v", err)
			}
			cancel()
			heard.Stop()
			p.update(n)
			n.incarnation++
			p.startPeer(n)
			p.update()
		}
	}()
	p.load(ctx, 12)
	p.check()
	p.allAnswered()
	p.report("node stop")
}

// Guards against requests of callers cut off when an entrance stops: all calls that
// were sent before the listener closed are answered.
func TestProofEntranceStop(t *testing.T) {
	p := newProof(t, 2, 100*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	time.AfterFunc(300*time.Millisecond, func() {
		stop, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := p.entrance.Shutdown(stop); err != nil {
			t.Errorf("shutdown: %v", err)
		}
	})
	p.load(ctx, 12)
	p.check()
	p.allAnswered()
}

// Guards against refusals of the upstream's node that are not typed or not marked as
// not run, and against calls for another process of the instance.
func TestPeerRefusals(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(n *testNode, h *callHeaders)
		status  int
		why     reason.Refusal
	}{
		{"draining", func(n *testNode, _ *callHeaders) { n.peer.SetDraining(true) }, 503, reason.Draining},
		{"upstream draining", func(n *testNode, _ *callHeaders) { n.source.up.Draining = true }, 503, reason.Draining},
		{"no upstream", func(n *testNode, _ *callHeaders) { n.source.up.Address = "" }, 503, reason.NoUpstream},
		{"other incarnation", func(n *testNode, h *callHeaders) { h.target = Target{n.instance, 9}.String() }, 503, reason.StaleTarget},
		{"upstream gone", func(n *testNode, _ *callHeaders) { n.closeUpstream(t) }, 502, reason.UpstreamConnect},
		{"ledger full", func(n *testNode, _ *callHeaders) {
			for i := range uint64(ledger.DefaultMaxEntries) {
				n.ledger.Admit(time.Now(), ledger.CallID{Origin: 1, Counter: i}, time.Now())
			}
		}, 503, reason.LedgerFull},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newMesh(t, defaultService(), http.HandlerFunc(echo))
			n := m.nodes[0]
			h := callHeaders{id: m.entrance.ids.next(), target: Target{n.instance, n.incarnation}.String(), timeout: time.Second}
			tc.prepare(n, &h)
			req := httptest.NewRequest("POST", "/x", nil)
			h.set(req.Header)
			w := httptest.NewRecorder()
			n.peer.ServeHTTP(w, req)
			want := fmt.Sprint(tc.status, tc.why, reason.RanNo)
			if have := fmt.Sprint(w.Code, w.Header().Get(HeaderRefused), w.Header().Get(HeaderRan)); have != want {
				t.Errorf("got %s, want %s", have, want)
			}
			report, err := m.entrance.outcomes.ask(t.Context(), n.addr, outcomeQuery{ID: h.id, Target: Target{n.instance, 9}, Bar: true})
			if err != nil || report.Report.Ran != reason.RanUnknown {
				t.Errorf("a query for another incarnation: %+v, error %v, want unknown", report, err)
			}
		})
	}
}

// Guards against peers without a certificate of the mesh.
func TestPeerNeedsCertificate(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(echo))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: m.client.RootCAs}}}
	if resp, err := client.Post("https://"+m.nodes[0].addr+outcomePath, "application/cbor", nil); err == nil {
		t.Errorf("a peer without certificate was answered with status %d", resp.StatusCode)
	}
}
