package fake

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// RequestIDHeader is the header with the request id under which executions are counted.
const RequestIDHeader = "X-Request-Id"

// Upstream is a fake server process of a service. It responds to each request with the
// body that ExpectedBody returns, counts executions per request id, and can be made slow,
// failing, frozen or unresponsive at run time.
type Upstream struct {
	options    UpstreamOptions
	behavior   atomic.Pointer[Behavior]
	executions executions
	inFlight   atomic.Int64
	server     http.Server
}

// UpstreamOptions configure an Upstream.
type UpstreamOptions struct {
	// Service is informational; responses do not show it.
	Service string
	// Version is the value of the X-Version header of executed requests' responses.
	Version string
	// Slots is the capacity in concurrent requests that the load endpoint reports. It is
	// not enforced.
	Slots int
	// Seed seeds the random failures and the latency jitter.
	Seed uint64
}

// NewUpstream returns an upstream with the behavior b. Call Serve to start it.
func NewUpstream(o UpstreamOptions, b Behavior) *Upstream {
	u := &Upstream{options: o}
	u.executions.init(o.Seed)
	u.SetBehavior(b)
	u.server.Handler = u.handler()
	return u
}

// SetBehavior changes the behavior for requests that arrive afterwards. Frozen also
// applies to requests in progress.
func (u *Upstream) SetBehavior(b Behavior) { u.behavior.Store(&b) }

// Behavior returns the current behavior.
func (u *Upstream) Behavior() Behavior { return *u.behavior.Load() }

// Serve accepts requests until Shutdown or Close. It always returns an error.
func (u *Upstream) Serve(l net.Listener) error { return u.server.Serve(l) }

// Shutdown stops accepting requests and waits for those in progress until ctx is done.
func (u *Upstream) Shutdown(ctx context.Context) error { return u.server.Shutdown(ctx) }

// Close closes the listener and all connections at once, as a crash does.
func (u *Upstream) Close() error { return u.server.Close() }

// Executions returns the number of executions per request id.
func (u *Upstream) Executions() map[string]int { return u.executions.snapshot() }

// execute handles one request according to the behavior.
func (u *Upstream) execute(w http.ResponseWriter, r *http.Request) {
	u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	b := u.Behavior()
	if b.Unresponsive {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(RequestIDHeader)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u.executions.add(id)
	if !u.wait(r.Context(), b.latency(r.URL.Path, u.executions.randomFloat())) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Version", u.options.Version)
	w.Header().Set(RequestIDHeader, id)
	if u.executions.randomFloat() < b.failureRate(r.URL.Path) {
		http.Error(w, "failure injected", http.StatusInternalServerError)
		return
	}
	size := b.BodyBytes
	if text := r.URL.Query().Get("bytes"); text != "" {
		size, _ = strconv.Atoi(text)
	}
	_, _ = w.Write(ExpectedBody(id, r.URL.Path, body, size))
}

// wait sleeps until the latency has passed and Behavior.Frozen is unset. It returns false
// if the request was canceled before.
func (u *Upstream) wait(ctx context.Context, latency time.Duration) bool {
	for begun := time.Now(); ; {
		left := latency - time.Since(begun)
		if left <= 0 && !u.Behavior().Frozen {
			return true
		}
		if left <= 0 {
			left = 5 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(left):
		}
	}
}

// ExpectedBody returns the body of the response to a request: a line with the request's
// id, path and a hash of its body, and filler up to size bytes. A caller compares it with
// the received body to detect truncated responses and responses to other requests.
func ExpectedBody(id, path string, request []byte, size int) []byte {
	hash := fnv.New64a()
	_, _ = hash.Write(request)
	out := fmt.Appendf(nil, "id=%s path=%s request=%x bytes=%d\n", id, path, hash.Sum64(), size)
	size = max(size, len(out))
	for i := 0; len(out) < size; i++ {
		out = fmt.Appendf(out, "%s %d\n", id, i)
	}
	return out[:size]
}
