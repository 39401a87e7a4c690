package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/retry"
)

// chain returns an upstream that calls the mesh again until the number in the path has
// been counted down to 0. As services should, it passes on the mesh headers and copies
// the status and the Retry header of a failure.
func chain(m **mesh, client *http.Client, leaf http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		left, _ := strconv.Atoi(r.URL.Path[len("/chain/"):])
		if left == 0 {
			leaf(w, r)
			return
		}
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, fmt.Sprintf("%s/chain/%d", (*m).url, left-1), nil)
		for _, name := range []string{HeaderDeadline, HeaderDepth} {
			req.Header.Set(name, r.Header.Get(name))
		}
		resp, err := client.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		if spent := resp.Header.Get(HeaderRetry); spent != "" {
			w.Header().Set(HeaderRetry, spent)
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}
}

// Guards against deadlines that grow and cancellations that get lost when a call
// passes through a chain of 15 nodes, and against chains longer than MaxDepth.
func TestProofChainOf15(t *testing.T) {
	var m *mesh
	client := newClient(t)
	leafEnded := make(chan time.Duration, 1)
	left := make(chan time.Duration, 1)
	m = newMesh(t, defaultService(), chain(&m, client, func(w http.ResponseWriter, r *http.Request) {
		begun := time.Now()
		got, _ := parseTimeout(r.Header)
		left <- got
		if depth, _ := parseDepth(r.Header); depth != 15 {
			t.Errorf("depth at the leaf is %d, want 15", depth)
		}
		<-r.Context().Done()
		leafEnded <- time.Since(begun)
	}))
	for _, method := range []string{"GET", "POST"} {
		ctx, cancel := context.WithCancel(t.Context())
		go m.do(ctx, client, method, "/chain/14", nil, http.Header{HeaderDeadline: {"1800"}})
		select {
		case got := <-left:
			// Each level subtracts retry.HopMargin and rounds up to a millisecond.
			if limit := 1800*time.Millisecond - 15*(retry.HopMargin-time.Millisecond); got > limit {
				t.Errorf("%s: the leaf has %v left, want at most %v", method, got, limit)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: the leaf was not reached", method)
		}
		cancel()
		select {
		case <-leafEnded:
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: the leaf was not canceled", method)
		}
	}
	got := m.do(t.Context(), client, "GET", "/chain/40", nil, nil)
	if got.status != http.StatusLoopDetected || got.header.Get(HeaderRan) == string(reason.RanNo) {
		t.Errorf("a chain of 41 was answered %d, ran %q", got.status, got.header.Get(HeaderRan))
	}
}

// Guards against retries that multiply along a chain of calls: only the node next to
// the failing service may retry.
func TestProofRetriesDoNotMultiply(t *testing.T) {
	var m *mesh
	var runs atomic.Int64
	client := newClient(t)
	m = newMesh(t, defaultService(), chain(&m, client, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	got := m.do(t.Context(), client, "GET", "/chain/5", nil, nil)
	if n := runs.Load(); n < 2 || n > 4 {
		t.Errorf("the failing leaf ran %d times, want 2 to 4 with retries at one level", n)
	}
	if got.status != http.StatusServiceUnavailable || got.header.Get(HeaderRetry) != retrySpent {
		t.Errorf("status %d, retry %q", got.status, got.header.Get(HeaderRetry))
	}
}

// Guards against reporting a call as not run because its last attempt was refused,
// although an earlier attempt ran.
func TestNotRunCoversAllAttempts(t *testing.T) {
	var m *mesh
	m = newMesh(t, defaultService(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		m.nodes[0].peer.SetDraining(true)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	got := m.do(t.Context(), newClient(t), "GET", "/x", nil, nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get(HeaderRan) != string(reason.RanUnknown) {
		t.Errorf("status %d, refused %q, ran %q, want unknown", got.status, got.header.Get(HeaderRefused), got.header.Get(HeaderRan))
	}
}

// Guards against the late response of an abandoned attempt that is delivered to another
// call. The attempt timeout is near the latency, so that many attempts time out.
func TestProofLateResponses(t *testing.T) {
	service := defaultService()
	service.TimeoutMS, service.AttemptTimeoutMS, service.SlowMS = 10000, 60, 10
	p := newFaultTestOf(t, 2, 120*time.Millisecond, service)
	ctx, cancel := context.WithTimeout(t.Context(), faultTime)
	defer cancel()
	p.sendCalls(ctx, 12)
	p.check()
	p.report("late answers")
}
