package memory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/platform"
	"golang.org/x/time/rate"
)

// service executes requests under the configured faults. It is embedded in Table and
// ObjectStore.
type service struct {
	mu       sync.Mutex // guards all fields and the data of the embedding type
	rnd      *rand.Rand
	faults   Faults
	limiter  *rate.Limiter
	counters Counters
	// dropResponses and dropRequests are the numbers of coming requests that are
	// affected.
	dropResponses, dropRequests int
	delayedWrites               sync.WaitGroup
}

func newService(seed, stream uint64) *service {
	return &service{rnd: rand.New(rand.NewPCG(seed, stream))}
}

// SetFaults replaces the configured faults.
func (s *service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.RatePerSecond != s.faults.RatePerSecond {
		s.limiter = nil
		if f.RatePerSecond > 0 {
			s.limiter = rate.NewLimiter(rate.Limit(f.RatePerSecond), max(1, int(f.RatePerSecond)))
		}
	}
	s.faults = f
}

// DropResponses makes the next n requests execute without a response.
func (s *service) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = n
}

// DropRequests makes the next n requests get lost before they are executed.
func (s *service) DropRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropRequests = n
}

// Counters returns the counts since the service was created.
func (s *service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// WaitDelayedWrites waits until all delayed writes have been executed.
func (s *service) WaitDelayedWrites() { s.delayedWrites.Wait() }

// requestFault is the fault that affects one request.
type requestFault int

const (
	noRequestFault requestFault = iota
	dropResponse
	dropRequest
	delayWrite
)

// begin admits a request and chooses its fault. The caller holds mu.
func (s *service) begin(write bool) (requestFault, error) {
	if s.faults.Down || (s.limiter != nil && !s.limiter.Allow()) {
		s.counters.Refused++
		return noRequestFault, platform.ErrUnavailable
	}
	draw := s.rnd.Float64()
	f := s.faults
	switch {
	case s.dropResponses > 0:
		s.dropResponses--
		return dropResponse, nil
	case s.dropRequests > 0:
		s.dropRequests--
		return dropRequest, nil
	case draw < f.DropResponse:
		return dropResponse, nil
	case draw < f.DropResponse+f.DropRequest:
		return dropRequest, nil
	case write && draw < f.DropResponse+f.DropRequest+f.DelayWrite:
		return delayWrite, nil
	}
	return noRequestFault, nil
}

// run executes one request. effect is called with mu held and returns the response.
// Without a response, a read returns ErrUnavailable and a write ErrUnknownOutcome.
func (s *service) run(ctx context.Context, write bool, effect func() error) error {
	noResponse := platform.ErrUnavailable
	if write {
		noResponse = platform.ErrUnknownOutcome
	}
	s.mu.Lock()
	drawn, err := s.begin(write)
	delay, lateBy := s.faults.Delay, time.Duration(0)
	if drawn == delayWrite && s.faults.MaxWriteDelay > 0 {
		lateBy = time.Duration(s.rnd.Int64N(int64(s.faults.MaxWriteDelay)))
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	if !wait(ctx, delay/2) || drawn == dropRequest {
		return noResponse
	}
	if drawn == delayWrite {
		s.delayedWrites.Go(func() {
			time.Sleep(lateBy)
			s.mu.Lock()
			defer s.mu.Unlock()
			_ = effect() // the caller no longer waits for the response
		})
		return noResponse
	}
	s.mu.Lock()
	err = effect()
	s.mu.Unlock()
	if !wait(ctx, delay-delay/2) || drawn == dropResponse || s.isDown() {
		return noResponse
	}
	return err
}

func (s *service) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// wait waits for d and reports whether d passed before ctx ended.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
