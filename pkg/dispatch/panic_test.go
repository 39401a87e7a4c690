package dispatch

import (
	"context"
	"fmt"
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

// server is an Executor that counts its requests.
type server struct {
	panics   bool
	requests int
}

func (s *server) Responsive() bool { return true }

func (s *server) Do(context.Context, *call.Request) call.Response {
	s.requests++
	if s.panics {
		panic("test")
	}
	return call.Response{Status: http.StatusOK, Ran: reason.RanYes, ReachedServer: true, Load: call.Load{Slots: 4, ServiceTime: 10 * time.Millisecond}}
}

// Guards against requests that count as in flight for ever after a panic: their server then
// looks full to this node.
func TestPanicEndsRequestInFlight(t *testing.T) {
	table, err := routing.NewTable(1, routing.DefaultLimits, []routing.Service{{Name: "s"}}, []routing.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: routing.Unsafe, Backends: []routing.Backend{{Service: "s", Weight: 1}},
		Timeout: time.Second, TargetLatency: 500 * time.Millisecond, Attempts: 1,
	}})
	if err != nil {
		t.Fatal(err)
	}
	selector := placement.NewSelector(placement.Locality{Node: "client", FailureDomain: "a"}, rand.New(rand.NewPCG(1, 2)))
	d := New(Options{
		Headers: call.Headers{RequestID: "X-Id"}, Nested: func(string) bool { return false }, Stopping: func() bool { return false },
		Table: func() *routing.Table { return table }, Selector: selector, Rollouts: rollout.NewTracker(rollout.Bounds{}),
		Retries: RetryBound{Ratio: 0.1, Window: time.Second, Extra: func() float64 { return 1 }}, Metrics: NewMetrics(nil),
	})
	sent := 0
	serve := func() int {
		sent++
		id := fmt.Sprint("id-", sent)
		r := &ingress.Request{Method: http.MethodPost, URI: "/", Host: "h", Path: "/", Header: http.Header{"X-Id": {id}}, Received: time.Now()}
		return d.Serve(t.Context(), r).Status
	}
	panicked, other := &server{panics: true}, &server{}
	add := func(name string, s *server) {
		selector.Set(time.Now(), name, s, placement.Server{Service: "s", FailureDomain: "a", Slots: 4, Incarnation: name})
	}
	add("panicked", panicked)
	for range 20 {
		if status := serve(); status != http.StatusBadGateway {
			t.Fatalf("status %d for a request that panics", status)
		}
	}
	panicked.panics = false
	serveWell := func(requests int) {
		for range requests {
			if status := serve(); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
		}
	}
	serveWell(1) // brings a load report
	add("other", other)
	panicked.requests = 0
	serveWell(100)
	if panicked.requests == 0 || other.requests == 0 {
		t.Errorf("of 100 requests the servers got %d and %d", panicked.requests, other.requests)
	}
}
