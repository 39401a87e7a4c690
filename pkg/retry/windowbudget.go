package retry

import (
	"sync"
	"time"
)

// WindowBudget is a retry budget that keeps a bound over windows of time: within a window that
// ends with a retry, no more retries than a share of the first attempts of the same
// window and a few extra ones. When every process keeps its own share, their sum keeps the bound of
// the whole fleet without coordination. Unlike Budget it saves nothing for later. It is
// safe for concurrent use; mu guards the counts.
type WindowBudget struct {
	ratio  float64
	bucket time.Duration // a window has shareBuckets of them

	mu     sync.Mutex
	newest int64 // number of the newest bucket
	firsts [shareBuckets + 1]float64
	taken  [shareBuckets + 1]float64
}

// shareBuckets is how many parts a window is counted in. One more part is kept, so
// that a window that begins within a part is covered.
const shareBuckets = 20

// NewWindowBudget returns an unused share of the first attempts in each window.
func NewWindowBudget(ratio float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, bucket: window / shareBuckets}
}

// RecordFirst records a first attempt.
func (s *WindowBudget) RecordFirst(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firsts[s.advance(now)]++
}

// TryTake takes one retry if the window has room for it, extra ones included.
func (s *WindowBudget) TryTake(now time.Time, extra float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.advance(now)
	firsts, taken := 0.0, 0.0
	for i := range s.taken {
		taken += s.taken[i]
		if i != (at+1)%len(s.taken) { // the oldest part lies outside the window in part
			firsts += s.firsts[i]
		}
	}
	if taken+1 > s.ratio*firsts+extra {
		return false
	}
	s.taken[at]++
	return true
}

// advance clears the parts that have passed and returns the index of the current one.
// The caller holds mu.
func (s *WindowBudget) advance(now time.Time) int {
	number := now.UnixNano() / int64(s.bucket)
	size := int64(len(s.taken))
	if number > s.newest {
		for n := max(s.newest+1, number-size+1); n <= number; n++ {
			s.firsts[n%size], s.taken[n%size] = 0, 0
		}
		s.newest = number
	}
	return int(s.newest % size)
}
