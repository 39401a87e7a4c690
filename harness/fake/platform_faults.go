package fake

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxRequestBytes is DynamoDB's size limit for one request.
const maxRequestBytes = 16 << 20

// Values of PlatformFaults.Down: how requests fail while the platform is down.
const (
	DownStatus = "status" // responds with status 503
	DownClose  = "close"  // closes the connection without a response
	DownHang   = "hang"   // never responds
)

// PlatformFaults are the faults that a Platform injects. The zero value injects none.
type PlatformFaults struct {
	// Down is empty (the platform works), DownStatus, DownClose or DownHang.
	Down string `json:"down,omitempty"`
	// DelayMS is the delay added to each request in milliseconds, half of it before and
	// half after the request is executed.
	DelayMS int `json:"delay_ms,omitempty"`
	// RatePerSecond throttles requests above this rate, with a burst of one second's
	// worth. Zero means no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// DropResponse is the probability that a request is executed but its response is
	// dropped; DropRequest is the probability that it is dropped without being executed.
	DropResponse float64 `json:"lose_answer,omitempty"`
	DropRequest  float64 `json:"lose_request,omitempty"`
	// DropResponses is the number of writes, counted from the next one, that are executed
	// but whose responses are dropped. Each such write decrements it; refused ones do not
	// count.
	DropResponses int `json:"lose_answers,omitempty"`
}

// faultInjector applies PlatformFaults to requests.
type faultInjector struct {
	mu      sync.Mutex // guards all fields
	rnd     *rand.Rand
	faults  PlatformFaults
	limiter *rate.Limiter
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{rnd: rand.New(rand.NewPCG(seed, 3))}
}

func (i *faultInjector) set(f PlatformFaults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if f.RatePerSecond != i.faults.RatePerSecond || i.limiter == nil {
		i.limiter = rate.NewLimiter(rate.Inf, 0)
		if f.RatePerSecond > 0 {
			i.limiter = rate.NewLimiter(rate.Limit(f.RatePerSecond), max(1, int(f.RatePerSecond)))
		}
	}
	i.faults = f
}

func (i *faultInjector) get() PlatformFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// requestFaults are the faults chosen for one request.
type requestFaults struct {
	faults                               PlatformFaults
	throttled, dropResponse, dropRequest bool
}

// choose draws the faults of the next request. write reports whether the request writes;
// DropResponses applies to writes only.
func (i *faultInjector) choose(write bool) requestFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := requestFaults{faults: i.faults}
	if i.faults.Down != "" {
		return f
	}
	f.throttled = i.limiter != nil && !i.limiter.Allow()
	chance := i.rnd.Float64()
	f.dropResponse = chance < i.faults.DropResponse
	f.dropRequest = !f.dropResponse && chance < i.faults.DropResponse+i.faults.DropRequest
	if write && !f.throttled && i.faults.DropResponses > 0 {
		i.faults.DropResponses--
		f.dropResponse, f.dropRequest = true, false
	}
	return f
}

// response is an HTTP response that has not been sent yet.
type response struct {
	status int
	header http.Header
	body   []byte
}

// serve reads the request, executes it with run and sends the response, subject to the
// faults chosen for it.
func (i *faultInjector) serve(w http.ResponseWriter, r *http.Request, p *Platform, run func(r *http.Request, body []byte) response) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	f := i.choose(isWrite(r))
	delay := time.Duration(f.faults.DelayMS) * time.Millisecond
	switch {
	case f.faults.Down != "":
		p.updateStats(func(s *PlatformStats) { s.Refused++ })
		serveDown(w, r, f.faults.Down)
		return
	case f.throttled:
		p.updateStats(func(s *PlatformStats) { s.Refused++ })
		send(w, throttledResponse(r))
		return
	}
	sleep(r.Context(), delay/2)
	if f.dropRequest {
		p.updateStats(func(s *PlatformStats) { s.Dropped++ })
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	result := run(r, body)
	p.updateStats(func(s *PlatformStats) {
		s.RequestBytes += len(body)
		s.ResponseBytes += len(result.body)
	})
	sleep(r.Context(), delay-delay/2)
	if f.dropResponse || i.get().Down != "" {
		p.updateStats(func(s *PlatformStats) { s.Dropped++ })
		panic(http.ErrAbortHandler)
	}
	send(w, result)
}

func serveDown(w http.ResponseWriter, r *http.Request, mode string) {
	switch mode {
	case DownHang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case DownClose:
		panic(http.ErrAbortHandler)
	default:
		send(w, errorResponse(r, http.StatusServiceUnavailable, "ServiceUnavailable", "the service is down"))
	}
}

func send(w http.ResponseWriter, resp response) {
	for name, values := range resp.header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body) // a failed write means that the client disconnected
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
