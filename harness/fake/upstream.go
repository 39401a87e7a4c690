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

// RequestIDHeader names the request whose executions are counted.
const RequestIDHeader = "X-Request-Id"

// Upstream is a stand-in for a server process of a service. It answers every request
// with a body that depends on the request's id and path, counts executions per
// request id, and can be made slow, failing, frozen or silent at run time.
type Upstream struct {
	options  UpstreamOptions
	behavior atomic.Pointer[Behavior]
	counts   executions
	running  atomic.Int64
	server   http.Server
}

// UpstreamOptions configure an Upstream.
type UpstreamOptions struct {
	Service string
	Version string
	Slots   int
	// Seed seeds the random failures.
	Seed uint64
}

// NewUpstream returns an upstream that behaves as b.
func NewUpstream(o UpstreamOptions, b Behavior) *Upstream {
	u := &Upstream{options: o}
	u.counts.init(o.Seed)
	u.SetBehavior(b)
	u.server.Handler = u.handler()
	return u
}

// SetBehavior changes how later requests are answered.
func (u *Upstream) SetBehavior(b Behavior) { u.behavior.Store(&b) }

// Behavior returns the present behavior.
func (u *Upstream) Behavior() Behavior { return *u.behavior.Load() }

// Serve accepts requests until Shutdown.
func (u *Upstream) Serve(l net.Listener) error { return u.server.Serve(l) }

// Shutdown lets the running requests finish.
func (u *Upstream) Shutdown(ctx context.Context) error { return u.server.Shutdown(ctx) }

// Close cuts off all requests, as a crash does.
func (u *Upstream) Close() error { return u.server.Close() }

// Executions returns the number of executions per request id.
func (u *Upstream) Executions() map[string]int { return u.counts.all() }

// answer executes a request.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request) {
	u.running.Add(1)
	defer u.running.Add(-1)
	b := u.Behavior()
	if b.Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(RequestIDHeader)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u.counts.add(id)
	if !u.wait(r.Context(), b.latency(r.URL.Path, u.counts.float())) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Version", u.options.Version)
	w.Header().Set(RequestIDHeader, id)
	if u.counts.float() < b.failureRate(r.URL.Path) {
		http.Error(w, "failure injected", http.StatusInternalServerError)
		return
	}
	size := b.BodyBytes
	if text := r.URL.Query().Get("bytes"); text != "" {
		size, _ = strconv.Atoi(text)
	}
	_, _ = w.Write(ExpectedBody(id, r.URL.Path, body, size))
}

// wait sleeps until the latency has passed and no freeze is in force; it reports
// false if the request was canceled.
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

// ExpectedBody returns the body of the answer to a request: a line that names the
// request and a hash of its body, and filler up to size bytes, so that a caller can
// check that the answer is whole and its own.
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
