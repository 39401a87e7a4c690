package admission

import (
	"context"
	"net/http"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/ledger"
	"corianderwood.example/corianderwood/pkg/routing"
	"corianderwood.example/corianderwood/pkg/uplink"
)

// outcomes is an Observer that counts the requests that it is told of, and those that failed.
type outcomes struct {
	silentObserver
	served, failed int
}

func (o *outcomes) Served(_ time.Time, _ *call.Request, _ string, res call.Response, _ time.Duration) {
	o.served++
	if Failed(res) {
		o.failed++
	}
}

// Guards against requests that the server doesn't answer in time and that count for nothing, and
// against requests that count against the server although their callers left before, or although
// they had too little time.
func TestTimedOutRequestsCount(t *testing.T) {
	const usual = 100 * time.Millisecond
	tests := map[string]struct {
		kind    routing.Kind
		given   time.Duration // from the start of the request until its deadline
		leaves  time.Duration // when the context is canceled, if not at the deadline
		counted bool
	}{
		"deadline of this node":               {routing.Safe, 500 * time.Millisecond, 0, true},
		"canceled by a peer at its deadline":  {routing.Safe, 500 * time.Millisecond, 490 * time.Millisecond, true},
		"canceled after the deadline":         {routing.Safe, 500 * time.Millisecond, 510 * time.Millisecond, true},
		"must not run twice":                  {routing.Unsafe, 500 * time.Millisecond, 0, true},
		"caller left early":                   {routing.Safe, 500 * time.Millisecond, 90 * time.Millisecond, false},
		"caller left after the usual time":    {routing.Safe, 500 * time.Millisecond, 150 * time.Millisecond, false},
		"large response that nobody awaits":   {routing.Download, 500 * time.Millisecond, 200 * time.Millisecond, false},
		"large response, deadline of a route": {routing.Download, 500 * time.Millisecond, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			defer close(s.hold)
			seen := &outcomes{}
			s.opts.Observer = seen
			s.heartbeat(1, 0)
			s.times.observe("r", usual)
			now := time.Now()
			ctx, cancel := context.WithDeadline(t.Context(), now.Add(test.given))
			if test.leaves > 0 {
				ctx, cancel = context.WithCancel(t.Context())
				time.AfterFunc(test.leaves, cancel)
			}
			defer cancel()
			s.Do(ctx, &call.Request{
				ID: "hold", Method: http.MethodGet, Head: []byte("GET /a HTTP/1.1\r\nHost: h\r\nX-Id: hold\r\n"), Kind: test.kind, Service: "s", Route: "r",
				CallID: ledger.CallID{Origin: 1, Counter: 1}, SoftDeadline: now.Add(test.given), Deadline: now.Add(test.given),
			})
			want := 0
			if test.counted {
				want = 1
			}
			if seen.served != want || seen.failed != want {
				t.Errorf("%d outcomes, %d of them failed, want %d", seen.served, seen.failed, want)
			}
		})
	}
}

// Guards against a request that counts against the server although it had less time than the server
// usually takes, or was not sent because the connection could not be opened before the deadline.
func TestDeadlineWithoutFaultOfServer(t *testing.T) {
	const usual = 100 * time.Millisecond
	sent := call.Response{ReachedServer: true}
	tests := map[string]struct {
		res     call.Response
		took    time.Duration
		counted int
	}{
		"enough time":   {sent, 2 * usual, 1},
		"too little":    {sent, usual / 2, 0},
		"not connected": {call.Response{}, 2 * usual, 0},
	}
	for name, test := range tests {
		seen := &outcomes{}
		c := New(Options{Tracker: instance.NewTracker(time.Hour), Uplink: uplink.New(0), Observer: seen})
		c.times.observe("r", usual)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		c.observe(ctx, &call.Request{Route: "r", Deadline: time.Now()}, "v", test.res, test.took, 1)
		if seen.served != test.counted {
			t.Errorf("%s: %d outcomes, want %d", name, seen.served, test.counted)
		}
	}
}
