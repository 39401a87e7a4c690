package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

var announced = Announcement{Service: "svc", Version: "v1", Address: "127.0.0.1:80", Slots: 9}

// Guards against announcements that outlive their TTL, heartbeats that undo a drain,
// and a replacement that must wait for its draining predecessor.
func TestRegistryLife(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	other := announced
	other.Version, other.Address = "v2", "127.0.0.1:81"
	type step struct {
		after   time.Duration
		what    func(r *Registry, now time.Time) error
		want    error
		present bool
		drains  bool
		version string
	}
	announce := func(a Announcement) func(*Registry, time.Time) error {
		return func(r *Registry, now time.Time) error { return r.Announce(now, a) }
	}
	drain := func(r *Registry, now time.Time) error { r.Drain(now); return nil }
	nothing := func(*Registry, time.Time) error { return nil }
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"expires", []step{{0, announce(announced), nil, true, false, "v1"}, {TTL - 1, nothing, nil, true, false, "v1"}, {1, nothing, nil, false, false, ""}}},
		{"renewed", []step{{0, announce(announced), nil, true, false, "v1"}, {2 * time.Second, announce(announced), nil, true, false, "v1"},
			{2 * time.Second, nothing, nil, true, false, "v1"}}},
		{"heartbeat after drain", []step{{0, announce(announced), nil, true, false, "v1"}, {0, drain, nil, true, true, "v1"},
			{time.Second, announce(announced), ErrDraining, true, true, "v1"}, {2 * time.Second, announce(announced), ErrDraining, true, true, "v1"},
			{TTL, announce(announced), nil, true, false, "v1"}}},
		{"replaced while draining", []step{{0, announce(announced), nil, true, false, "v1"}, {0, drain, nil, true, true, "v1"},
			{0, announce(other), nil, true, false, "v2"}}},
		{"occupied", []step{{0, announce(announced), nil, true, false, "v1"}, {0, announce(other), ErrAlreadyAnnounced, true, false, "v1"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, now := NewRegistry(nil), now
			for i, s := range tc.steps {
				now = now.Add(s.after)
				if err := s.what(r, now); !errors.Is(err, s.want) {
					t.Errorf("step %d: error %v, want %v", i, err, s.want)
				}
				status, present := r.Status(now)
				if present != s.present || status.Draining != s.drains || status.Version != s.version {
					t.Errorf("step %d: %+v, present %v", i, status, present)
				}
			}
		})
	}
}

// Guards against an API that accepts invalid or conflicting announcements.
func TestAPIRefusals(t *testing.T) {
	handler := NewAPI(NewRegistry(nil), func(string) int { return 0 }).Handler()
	for _, tc := range []struct {
		name, body string
		status     int
		want       string
	}{
		{"not JSON", "hello", 400, "JSON"},
		{"unknown field", `{"service":"s","colour":1}`, 400, "colour"},
		{"two objects", `{"service":"s","version":"v","address":"127.0.0.1:1"}{}`, 400, "after the announcement"},
		{"no version", `{"service":"s","address":"127.0.0.1:1"}`, 400, "version is empty"},
		{"host name", `{"service":"s","version":"v","address":"localhost:1"}`, 400, "IP address"},
		{"path", `{"service":"s","version":"v","address":"127.0.0.1:1","health_path":"x"}`, 400, "begins with /"},
		{"good", `{"service":"s","version":"v","address":"127.0.0.1:1"}`, 200, "3000"},
		{"occupied", `{"service":"s","version":"w","address":"127.0.0.1:1"}`, 409, "another upstream"},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest("POST", AnnouncePath, strings.NewReader(tc.body)))
		if w.Code != tc.status || !strings.Contains(w.Body.String(), tc.want) {
			t.Errorf("%s: status %d, body %s", tc.name, w.Code, w.Body)
		}
	}
}

// Guards against a drain that returns while calls are in flight, or that never returns.
func TestDrainWaits(t *testing.T) {
	r := NewRegistry(nil)
	if err := r.Announce(time.Now(), announced); err != nil {
		t.Fatal(err)
	}
	var running atomic.Int64
	running.Store(2)
	handler := NewAPI(r, func(address string) int {
		if address != announced.Address {
			t.Errorf("requested the calls of %q", address)
		}
		return int(running.Load())
	}).Handler()
	drain := func(query string) string {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest("DELETE", AnnouncePath+query, nil))
		return w.Body.String()
	}
	if got := drain("?wait_ms=50"); !strings.Contains(got, `"drained":false,"running":2`) {
		t.Errorf("a drain that timed out: %s", got)
	}
	time.AfterFunc(100*time.Millisecond, func() { running.Store(0) })
	if got := drain(""); !strings.Contains(got, `"drained":true`) || running.Load() != 0 {
		t.Errorf("a drain with calls that end: %s, %d running", got, running.Load())
	}
}

// Guards against a watcher that misses a change or an expiry.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := NewRegistry(nil)
		watch := r.Watch(ctx)
		if s := <-watch; s.Service != "" {
			t.Errorf("first status %+v", s)
		}
		if err := r.Announce(time.Now(), announced); err != nil {
			t.Fatal(err)
		}
		if s := <-watch; s.Version != "v1" {
			t.Errorf("announced status %+v", s)
		}
		begun := time.Now()
		if s := <-watch; s.Service != "" || time.Since(begun) > TTL+TTL/5 {
			t.Errorf("status %+v after %v, want none after the TTL", s, time.Since(begun))
		}
		cancel()
		if _, open := <-watch; open {
			t.Error("the channel is open after the context ended")
		}
	})
}

// Guards against an unhealthy hint after a single failed poll, and against a hint that
// never changes.
func TestPolls(t *testing.T) {
	var healthy atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/load":
			_, _ = io.WriteString(w, `{"running":3,"queued":1,"slots":9}`)
		case !healthy.Load():
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	defer server.Close()
	a := announced
	a.Address, a.HealthPath, a.LoadPath = strings.TrimPrefix(server.URL, "http://"), "/health", "/load"
	r := NewRegistry(nil)
	if err := r.Announce(time.Now(), a); err != nil {
		t.Fatal(err)
	}
	p := NewPoller(r)
	for poll := 1; poll <= unhealthyThreshold; poll++ {
		p.poll(t.Context(), a)
		status, _ := r.Status(time.Now())
		if status.Hints.Unhealthy != (poll == unhealthyThreshold) || status.Hints.Load == nil || status.Hints.Load.Running != 3 {
			t.Errorf("hints after %d failed polls: %+v", poll, status.Hints)
		}
	}
	healthy.Store(true)
	p.poll(t.Context(), a)
	if status, _ := r.Status(time.Now()); status.Hints.Unhealthy {
		t.Error("the hint stays unhealthy after a good poll")
	}
}
