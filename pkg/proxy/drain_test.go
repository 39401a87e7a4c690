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

// checkAllSucceeded fails the test unless every call got a complete response with status 200.
func (p *faultTest) checkAllSucceeded() {
	p.t.Helper()
	for id, got := range p.responses {
		if got.err != nil || got.status != http.StatusOK {
			p.t.Errorf("%s: status %d, refused %q, error %v", id, got.status, got.header.Get(HeaderRefused), got.err)
		}
	}
}

// Guards against calls that fail when upstreams drain one after the other under load
// and exit as soon as the drain request returns.
func TestProofUpstreamDrain(t *testing.T) {
	p := newFaultTest(t, 3, 30*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), faultTime)
	defer cancel()
	go func() {
		p.awaitCalls(callsBeforeFaults)
		for i := 0; ctx.Err() == nil; i++ {
			n := p.nodes[i%len(p.nodes)]
			// The balancer learns of the drain late, so that the node still gets calls.
			heard := time.AfterFunc(20*time.Millisecond, func() { p.update(n) })
			n.drainWith(t, upstream.NewRegistry(nil))
			heard.Stop()
			p.update(n)
			n.startUpstream(t)
			p.update()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	p.sendCalls(ctx, 12)
	p.check()
	p.checkAllSucceeded()
	p.report("upstream drain")
}

// drainWith drains the upstream through the announce API and closes it as soon as the
// drain request returns, which would abort a call that is still running.
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

// Guards against calls that fail when a node shuts down under load. The node must
// refuse new calls as not run, finish the running ones and answer outcome queries.
func TestProofNodeStop(t *testing.T) {
	p := newFaultTest(t, 3, 30*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), faultTime)
	defer cancel()
	go func() {
		p.awaitCalls(callsBeforeFaults)
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
	p.sendCalls(ctx, 12)
	p.check()
	p.checkAllSucceeded()
	p.report("node stop")
}

// Guards against calls that fail when the ingress node shuts down: all calls sent
// before its listener closes must succeed.
func TestProofCallerServerStop(t *testing.T) {
	p := newFaultTest(t, 2, 100*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	time.AfterFunc(300*time.Millisecond, func() {
		stop, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := p.callerServer.Shutdown(stop); err != nil {
			t.Errorf("shutdown: %v", err)
		}
	})
	p.sendCalls(ctx, 12)
	p.check()
	p.checkAllSucceeded()
}

// Guards against refusals by the upstream's node that lack their reason or are not
// marked as not run, and against accepting calls for another incarnation.
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
			h := callHeaders{id: m.callerServer.ids.next(), target: Target{n.instance, n.incarnation}.String(), timeout: time.Second}
			tc.prepare(n, &h)
			req := httptest.NewRequest("POST", "/x", nil)
			h.set(req.Header)
			w := httptest.NewRecorder()
			n.peer.ServeHTTP(w, req)
			want := fmt.Sprint(tc.status, tc.why, reason.RanNo)
			if have := fmt.Sprint(w.Code, w.Header().Get(HeaderRefused), w.Header().Get(HeaderRan)); have != want {
				t.Errorf("got %s, want %s", have, want)
			}
			report, err := m.callerServer.outcomes.sendQuery(t.Context(), n.addr, outcomeQuery{ID: h.id, Target: Target{n.instance, 9}, Fence: true})
			if err != nil || report.Report.Ran != reason.RanUnknown {
				t.Errorf("a query for another incarnation: %+v, error %v, want unknown", report, err)
			}
		})
	}
}

// Guards against a peer listener that accepts clients without a certificate of the
// mesh.
func TestPeerNeedsCertificate(t *testing.T) {
	m := newMesh(t, defaultService(), http.HandlerFunc(echo))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: m.client.RootCAs}}}
	if resp, err := client.Post("https://"+m.nodes[0].addr+outcomePath, "application/cbor", nil); err == nil {
		t.Errorf("a peer without certificate was answered with status %d", resp.StatusCode)
	}
}
