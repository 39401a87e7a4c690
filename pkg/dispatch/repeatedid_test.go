package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/ingress"
	"corianderwood.example/corianderwood/pkg/placement"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/rollout"
	"corianderwood.example/corianderwood/pkg/routing"
)

// scriptedServer is an Executor that ends each request with the next of its outcomes.
type scriptedServer struct {
	requests int
	outcomes []func() call.Response
}

func (s *scriptedServer) Responsive() bool { return true }

func (s *scriptedServer) Do(context.Context, *call.Request) call.Response {
	s.requests++
	return s.outcomes[s.requests-1]()
}

// Guards against a request that must not run twice and that runs again because the caller's HTTP
// client has sent it again under its id, and against one that is given up although it has not run.
func TestRepeatedIDRunsTwice(t *testing.T) {
	load := call.Load{Slots: 4, ServiceTime: 10 * time.Millisecond}
	served := func() call.Response {
		return call.Response{Status: http.StatusOK, Ran: reason.RanYes, ReachedServer: true, Load: load}
	}
	lost := func() call.Response {
		return call.Response{Refusal: reason.UpstreamFailed, Ran: reason.RanUnknown, ReachedServer: true, Load: load}
	}
	refused := func() call.Response { return call.Refused(reason.QueueFull, time.Second) }
	panics := func() call.Response { panic("test") }
	type outcomes []func() call.Response
	tests := []struct {
		name           string
		kind           routing.Kind
		outcomes       outcomes
		first, second  int // status codes
		secondRequests int // requests at the server after the second receipt
	}{
		{"served", routing.Unsafe, outcomes{served, served}, http.StatusOK, http.StatusBadGateway, 1},
		{"lost", routing.Unsafe, outcomes{lost, served}, http.StatusBadGateway, http.StatusBadGateway, 1},
		{"ended by a panic", routing.Unsafe, outcomes{panics, served}, http.StatusBadGateway, http.StatusBadGateway, 1},
		{"refused", routing.Unsafe, outcomes{refused, served}, http.StatusServiceUnavailable, http.StatusOK, 2},
		{"safe", routing.Safe, outcomes{served, served}, http.StatusOK, http.StatusOK, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &scriptedServer{outcomes: test.outcomes}
			d := newTestDispatcher(t, test.kind, s)
			if status := serveID(t.Context(), d, "r"); status != test.first {
				t.Errorf("first receipt: status %d, want %d", status, test.first)
			}
			if status := serveID(t.Context(), d, "r"); status != test.second {
				t.Errorf("second receipt: status %d, want %d", status, test.second)
			}
			if s.requests != test.secondRequests {
				t.Errorf("the server got %d requests, want %d", s.requests, test.secondRequests)
			}
		})
	}
}

// Guards against the same while the first request is in progress.
func TestRepeatedIDRunsTwiceAtOnce(t *testing.T) {
	started, end := make(chan struct{}), make(chan struct{})
	served := call.Response{Status: http.StatusOK, Ran: reason.RanYes, ReachedServer: true}
	s := &scriptedServer{outcomes: []func() call.Response{
		func() call.Response { close(started); <-end; return served },
		func() call.Response { return served },
	}}
	d := newTestDispatcher(t, routing.Unsafe, s)
	first := make(chan int)
	go func() { first <- serveID(t.Context(), d, "r") }()
	<-started
	if status := serveID(t.Context(), d, "r"); status != http.StatusBadGateway {
		t.Errorf("second receipt: status %d, want 502", status)
	}
	close(end)
	if status := <-first; status != http.StatusOK {
		t.Errorf("first receipt: status %d, want 200", status)
	}
	if s.requests != 1 {
		t.Errorf("the server got %d requests, want 1", s.requests)
	}
}

// newTestDispatcher returns a dispatcher with one route and one server.
func newTestDispatcher(t *testing.T, kind routing.Kind, s placement.Executor) *Dispatcher {
	t.Helper()
	table, err := routing.NewTable(1, routing.DefaultLimits, []routing.Service{{Name: "s"}}, []routing.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Backends: []routing.Backend{{Service: "s", Weight: 1}},
		Timeout: time.Second, TargetLatency: 500 * time.Millisecond, Attempts: 1,
	}})
	if err != nil {
		t.Fatal(err)
	}
	selector := placement.NewSelector(placement.Locality{Node: "client", FailureDomain: "a"}, rand.New(rand.NewPCG(1, 2)))
	selector.Set(time.Now(), "node", s, placement.Server{Service: "s", FailureDomain: "a", Slots: 4, Incarnation: "i"})
	return New(Options{
		Headers: call.Headers{RequestID: "X-Id"}, Nested: func(string) bool { return false }, Stopping: func() bool { return false },
		Table: func() *routing.Table { return table }, Selector: selector, Rollouts: rollout.NewTracker(rollout.Bounds{}),
		Retries: RetryBound{Ratio: 0.1, Window: time.Second, Extra: func() float64 { return 1 }}, Metrics: NewMetrics(nil),
	})
}

// serveID serves a request with the id and returns the status of its response.
func serveID(ctx context.Context, d *Dispatcher, id string) int {
	r := &ingress.Request{Method: http.MethodPost, URI: "/", Host: "h", Path: "/", Header: http.Header{"X-Id": {id}}, Received: time.Now()}
	return d.Serve(ctx, r).Status
}
