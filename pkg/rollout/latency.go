package rollout

import (
	"math"
	"time"
)

// latencyBucket returns the index of the histogram bucket of a latency.
func latencyBucket(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(ms))), latencyBuckets-1)
}

// Add counts one response. Latencies of failed responses are not counted.
func (e *RouteEvidence) Add(failed bool, took time.Duration) {
	e.Total++
	if failed {
		e.Failed++
		return
	}
	e.Latency[latencyBucket(took)]++
}

func (e *RouteEvidence) merge(o RouteEvidence) {
	e.Total += o.Total
	e.Failed += o.Failed
	for i, n := range o.Latency {
		e.Latency[i] += n
	}
}

// median returns the bucket of the median latency, or -1 if there are no responses.
func (e *RouteEvidence) median() int {
	total := uint32(0)
	for _, n := range e.Latency {
		total += n
	}
	if total == 0 {
		return -1
	}
	seen := uint32(0)
	for i, n := range e.Latency {
		seen += n
		if 2*seen >= total {
			return i
		}
	}
	return latencyBuckets - 1
}

// slowLimit returns the last bucket in which a response does not count as slow, by these
// responses of other versions, or -1 if there are none.
func (e *RouteEvidence) slowLimit() int {
	median := e.median()
	if median < 0 {
		return -1
	}
	return median + int(math.Ceil(2*math.Log2(slowFactor)))
}

// countSlower returns the number of responses in buckets above limit.
func (e *RouteEvidence) countSlower(limit int) uint32 {
	n := uint32(0)
	for i := limit + 1; i < latencyBuckets; i++ {
		n += e.Latency[i]
	}
	return n
}
