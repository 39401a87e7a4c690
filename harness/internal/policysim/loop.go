package policysim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// epoch is the virtual time at which every loop starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Loop is an event loop in virtual time. It runs functions in the order of their times;
// functions with the same time run in the order of their After calls.
type Loop struct {
	Rand    *rand.Rand
	now     time.Time
	events  eventHeap
	lastSeq uint64
}

// NewLoop returns a loop at the start of virtual time, with its own random source.
func NewLoop(seed uint64) *Loop {
	return &Loop{Rand: rand.New(rand.NewPCG(seed, 0)), now: epoch}
}

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// Elapsed returns the virtual time since the start of the loop.
func (l *Loop) Elapsed() time.Duration { return l.now.Sub(epoch) }

// After schedules f to run after d and returns a function that cancels it.
func (l *Loop) After(d time.Duration, f func()) (stop func()) {
	l.lastSeq++
	e := &event{at: l.now.Add(max(d, 0)), seq: l.lastSeq, f: f}
	heap.Push(&l.events, e)
	return func() { e.f = nil }
}

// Run processes all events up to d after the start of the loop.
func (l *Loop) Run(d time.Duration) {
	end := epoch.Add(d)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(*event)
		if e.f != nil {
			l.now = e.at
			e.f()
		}
	}
	l.now = end
}

// Exponential draws a duration from the exponential distribution with the given mean.
func (l *Loop) Exponential(mean time.Duration) time.Duration {
	return time.Duration(math.Round(l.Rand.ExpFloat64() * float64(mean)))
}

// Arrivals calls f at the times of a Poisson process with the given rate per second,
// until the given time after the start of the loop.
func (l *Loop) Arrivals(rate float64, until time.Duration, f func()) {
	gap := time.Duration(float64(time.Second) / rate)
	var next func()
	next = func() {
		if l.Elapsed() >= until {
			return
		}
		f()
		l.After(l.Exponential(gap), next)
	}
	l.After(l.Exponential(gap), next)
}

type event struct {
	at  time.Time
	seq uint64 // orders events with the same time
	f   func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
