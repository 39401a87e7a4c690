package admission

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/backend"
	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// silentObserver is an Observer that ignores everything.
type silentObserver struct{}

func (silentObserver) Served(time.Time, *call.Request, string, call.Response, time.Duration) {}
func (silentObserver) Noticed(string, call.ServerNotice, error)                              {}

// Guards against a panic at a server's response that ends the process, keeps the slot, or
// leaves an outcome query waiting.
func TestPanicAtResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
	}))
	defer server.Close()
	tracker := instance.NewTracker(time.Minute)
	tracker.Observe(time.Now(), instance.Server{ID: "i", StartedAtMS: 1, Sequence: 1, Service: "s", Slots: 1, State: instance.Ready})
	headers := call.Headers{RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Signature", ExpectInstance: "X-Expect", NotExecuted: "X-Not-Run"}
	c := New(Options{
		Tracker: tracker, Ledger: ledger.New(ledger.Options{}), Observer: silentObserver{}, Running: NewInFlight(), Uplink: uplink.New(0),
		Client: backend.NewClient(backend.Options{
			Address: server.Listener.Addr().String(), Headers: headers, Bodies: boundedio.NewBudget(1 << 20), Metrics: backend.NewMetrics(nil),
			Notice: func(http.Header) (call.ServerNotice, error) { panic("test") },
		}),
	})
	c.ServerChanged(time.Now())
	for n := range uint64(3) { // more than there are slots
		req := &call.Request{
			ID: "r", Method: http.MethodPost, Head: []byte("POST /a HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n"), Kind: routing.Unsafe, Service: "s",
			CallID: ledger.CallID{Origin: 1, Counter: n + 1}, SoftDeadline: time.Now().Add(time.Second), Deadline: time.Now().Add(2 * time.Second),
		}
		if res := c.Do(context.Background(), req); res.Ran != reason.RanUnknown || res.Status != 0 || res.Load.Running != 0 {
			t.Errorf("request %d: %+v", n, res)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		res := c.Outcome(ctx, req.CallID)
		if ctx.Err() != nil || res.Ran != reason.RanUnknown {
			t.Errorf("outcome query of request %d: %+v, %v", n, res, ctx.Err())
		}
		cancel()
	}
}
