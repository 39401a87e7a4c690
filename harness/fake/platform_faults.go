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

// maxRequestBytes is DynamoDB's limit of one request.
const maxRequestBytes = 16 << 20

// Ways in which a platform that is down behaves.
const (
	DownStatus = "status" // answers 503
	DownClose  = "close"  // closes the connection without an answer
	DownHang   = "hang"   // never answers
)

// PlatformFaults are the faults of a Platform. The zero value means that it works.
type PlatformFaults struct {
	// Down is empty, DownStatus, DownClose or DownHang.
	Down string `json:"down,omitempty"`
	// DelayMS is spent on each request, half of it before the effect.
	DelayMS int `json:"delay_ms,omitempty"`
	// RatePerSecond refuses requests above this rate, with a burst of one second.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// LoseAnswer and LoseRequest are probabilities that a request loses its answer
	// after the effect, or is lost before it.
	LoseAnswer  float64 `json:"lose_answer,omitempty"`
	LoseRequest float64 `json:"lose_request,omitempty"`
	// LoseAnswers is the number of coming writes that lose their answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

type faultInjector struct {
	mu      sync.Mutex // owns all fields
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

// fate is what happens to one request.
type fate struct {
	faults                            PlatformFaults
	limited, loseAnswer, loseRequests bool
}

func (i *faultInjector) draw(write bool) fate {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := fate{faults: i.faults}
	if i.faults.Down != "" {
		return f
	}
	f.limited = i.limiter != nil && !i.limiter.Allow()
	chance := i.rnd.Float64()
	f.loseAnswer = chance < i.faults.LoseAnswer
	f.loseRequests = !f.loseAnswer && chance < i.faults.LoseAnswer+i.faults.LoseRequest
	if write && !f.limited && i.faults.LoseAnswers > 0 {
		i.faults.LoseAnswers--
		f.loseAnswer, f.loseRequests = true, false
	}
	return f
}

// answer is a response that has not been sent yet.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// serve reads the request, runs it and sends the answer as the faults allow.
func (i *faultInjector) serve(w http.ResponseWriter, r *http.Request, p *Platform, run func(r *http.Request, body []byte) answer) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	f := i.draw(isWrite(r))
	delay := time.Duration(f.faults.DelayMS) * time.Millisecond
	switch {
	case f.faults.Down != "":
		p.count(func(s *PlatformStats) { s.Refused++ })
		serveDown(w, r, f.faults.Down)
		return
	case f.limited:
		p.count(func(s *PlatformStats) { s.Refused++ })
		send(w, throttled(r))
		return
	}
	sleep(r.Context(), delay/2)
	if f.loseRequests {
		p.count(func(s *PlatformStats) { s.Lost++ })
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	a := run(r, body)
	p.count(func(s *PlatformStats) {
		s.RequestBytes += len(body)
		s.AnswerBytes += len(a.body)
	})
	sleep(r.Context(), delay-delay/2)
	if f.loseAnswer || i.get().Down != "" {
		p.count(func(s *PlatformStats) { s.Lost++ })
		panic(http.ErrAbortHandler)
	}
	send(w, a)
}

func serveDown(w http.ResponseWriter, r *http.Request, how string) {
	switch how {
	case DownHang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case DownClose:
		panic(http.ErrAbortHandler)
	default:
		send(w, failure(r, http.StatusServiceUnavailable, "ServiceUnavailable", "the service is down"))
	}
}

func send(w http.ResponseWriter, a answer) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // the client may be gone
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
