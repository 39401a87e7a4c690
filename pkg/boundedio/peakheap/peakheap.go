// Package peakheap measures, in tests, how much memory an action holds at most.
package peakheap

import (
	"runtime"
	"runtime/metrics"
	"time"
)

// interval is the time between two samples.
const interval = 5 * time.Millisecond

// Of runs f and returns the largest growth of the heap meanwhile, in bytes. Each sample is
// taken after a garbage collection and counts all heap objects: those in use and the garbage
// that has accumulated since that collection began.
func Of(f func()) int64 {
	before := objects()
	done := make(chan struct{})
	go func() { defer close(done); f() }()
	var peak int64
	for {
		select {
		case <-done:
			return peak
		case <-time.After(interval):
			peak = max(peak, objects()-before)
		}
	}
}

func objects() int64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
