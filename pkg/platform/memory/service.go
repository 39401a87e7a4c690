package memory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/platform"
	"golang.org/x/time/rate"
)

// service runs requests under the faults. It is embedded by Table and ObjectStore.
type service struct {
	mu       sync.Mutex // owns all fields and the data of the embedding type
	rnd      *rand.Rand
	faults   Faults
	limiter  *rate.Limiter
	counters Counters
	// loseAnswers and loseRequests count the coming requests to which it happens.
	loseAnswers, loseRequests int
	late                      sync.WaitGroup
}

func newService(seed, stream uint64) *service {
	return &service{rnd: rand.New(rand.NewPCG(seed, stream))}
}

// SetFaults replaces the faults.
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

// DropResponses makes the next n requests take effect without an answer.
func (s *service) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// DropRequests makes the next n requests disappear without effect.
func (s *service) DropRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseRequests = n
}

// Counters returns the counts since the start.
func (s *service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// WaitDelayedWrites waits until all late effects have happened.
func (s *service) WaitDelayedWrites() { s.late.Wait() }

// fate is what happens to one request.
type fate int

const (
	fateNormal fate = iota
	fateLoseAnswer
	fateLoseRequest
	fateLate
)

// begin admits a request and draws its fate. Called with mu held.
func (s *service) begin(write bool) (fate, error) {
	if s.faults.Down || (s.limiter != nil && !s.limiter.Allow()) {
		s.counters.Refused++
		return fateNormal, platform.ErrUnavailable
	}
	draw := s.rnd.Float64()
	f := s.faults
	switch {
	case s.loseAnswers > 0:
		s.loseAnswers--
		return fateLoseAnswer, nil
	case s.loseRequests > 0:
		s.loseRequests--
		return fateLoseRequest, nil
	case draw < f.DropResponse:
		return fateLoseAnswer, nil
	case draw < f.DropResponse+f.DropRequest:
		return fateLoseRequest, nil
	case write && draw < f.DropResponse+f.DropRequest+f.DelayWrite:
		return fateLate, nil
	}
	return fateNormal, nil
}

// run executes one request. The effect runs with mu held and returns the answer.
// Without an answer a read is unavailable and a write has an unknown outcome.
func (s *service) run(ctx context.Context, write bool, effect func() error) error {
	noAnswer := platform.ErrUnavailable
	if write {
		noAnswer = platform.ErrUnknownOutcome
	}
	s.mu.Lock()
	drawn, err := s.begin(write)
	delay, lateBy := s.faults.Delay, time.Duration(0)
	if drawn == fateLate && s.faults.MaxWriteDelay > 0 {
		lateBy = time.Duration(s.rnd.Int64N(int64(s.faults.MaxWriteDelay)))
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	if !wait(ctx, delay/2) || drawn == fateLoseRequest {
		return noAnswer
	}
	if drawn == fateLate {
		s.late.Go(func() {
			time.Sleep(lateBy)
			s.mu.Lock()
			defer s.mu.Unlock()
			_ = effect() // nobody waits for the answer
		})
		return noAnswer
	}
	s.mu.Lock()
	err = effect()
	s.mu.Unlock()
	if !wait(ctx, delay-delay/2) || drawn == fateLoseAnswer || s.isDown() {
		return noAnswer
	}
	return err
}

func (s *service) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// wait reports whether d passed before ctx ended.
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
