package retry

import (
	"sync"
	"time"
)

// WindowBudget is a retry budget over a sliding window: within each window that ends
// with a retry, the retries are at most a share of the window's first attempts plus a
// few extra ones. If every process keeps this limit, the limit also holds for the sum
// of all processes, without coordination. Unlike Budget, it saves no unused retries for
// later. It is safe for concurrent use; mu guards the counts.
type WindowBudget struct {
	ratio       float64
	bucketWidth time.Duration // a window has windowBuckets buckets

	mu            sync.Mutex
	newestBucket  int64 // number of the newest bucket
	firstAttempts [windowBuckets + 1]float64
	taken         [windowBuckets + 1]float64
}

// windowBuckets is the number of buckets per window. One additional bucket is kept to
// cover a window that starts within a bucket.
const windowBuckets = 20

// NewWindowBudget returns a budget of ratio retries per first attempt in each window.
func NewWindowBudget(ratio float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, bucketWidth: window / windowBuckets}
}

// RecordFirst records a first attempt.
func (b *WindowBudget) RecordFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstAttempts[b.advance(now)]++
}

// TryTake takes one retry and reports whether the limit of the current window,
// including extra, allowed it.
func (b *WindowBudget) TryTake(now time.Time, extra float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.advance(now)
	firsts, taken := 0.0, 0.0
	for i := range b.taken {
		taken += b.taken[i]
		if i != (at+1)%len(b.taken) { // the oldest bucket is only partly within the window
			firsts += b.firstAttempts[i]
		}
	}
	if taken+1 > b.ratio*firsts+extra {
		return false
	}
	b.taken[at]++
	return true
}

// advance clears the buckets for the time since the last call and returns the index of
// the current one. The caller holds mu.
func (b *WindowBudget) advance(now time.Time) int {
	number := now.UnixNano() / int64(b.bucketWidth)
	size := int64(len(b.taken))
	if number > b.newestBucket {
		for n := max(b.newestBucket+1, number-size+1); n <= number; n++ {
			b.firstAttempts[n%size], b.taken[n%size] = 0, 0
		}
		b.newestBucket = number
	}
	return int(b.newestBucket % size)
}
