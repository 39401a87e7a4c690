package placement

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
)

// pattern is a load that the placement answers.
type pattern struct {
	name string
	// speeds holds the service time factor of each server.
	speeds  []float64
	slots   int
	origins int
	// utilisation is the offered load as a share of the capacity.
	utilisation float64
	mean        time.Duration
	spread      float64 // sigma of the log-normal work
	target      time.Duration
	// failing is the index of a server that fails at once, or -1.
	failing int
}

// outcome is what the callers of a replay saw.
type outcome struct {
	onTime, failed float64 // shares of the requests
	p99            time.Duration
}

type stubGate struct{}

func (stubGate) Do(context.Context, *call.Request) call.Response { return call.Response{} }

// simServer is a gate with its server: a line in order of arrival.
type simServer struct {
	free    []time.Time // when each slot is free
	running int
	waiting int
	mean    time.Duration
}

type simEvent struct {
	at  time.Time
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const networkDelay = 1500 * time.Microsecond

// replay runs the pattern for a simulated time, by the boards or by a random choice.
func replay(p pattern, seed uint64, random bool) outcome {
	rnd := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(0, 0)
	servers := make([]*simServer, len(p.speeds))
	boards := make([]*Selector, p.origins)
	for i := range boards {
		boards[i] = NewSelector(Locality{FailureDomain: "a"}, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	capacity := 0.0
	for i, speed := range p.speeds {
		servers[i] = &simServer{free: make([]time.Time, p.slots)}
		capacity += float64(p.slots) / (p.mean.Seconds() * speed)
		for _, b := range boards {
			b.Set(start, fmt.Sprint(i), stubGate{}, Server{Service: "s", Incarnation: "x", FailureDomain: "a", Slots: p.slots})
		}
	}
	rate := capacity * p.utilisation
	var queue eventQueue
	var latencies []time.Duration
	failed := 0
	const length = 30 * time.Second
	mu := -p.spread * p.spread / 2
	arrive := func(now time.Time) {
		board := boards[rnd.IntN(len(boards))]
		var exclude []string
		if random {
			keep := rnd.IntN(len(servers))
			for i := range servers {
				if i != keep {
					exclude = append(exclude, fmt.Sprint(i))
				}
			}
		}
		choice, _ := board.Pick(now, Query{Service: "s", Route: "r", Exclude: exclude})
		var index int
		_, _ = fmt.Sscan(choice.Node, &index)
		s := servers[index]
		work := time.Duration(float64(p.mean) * p.speeds[index] * math.Exp(mu+p.spread*rnd.NormFloat64()))
		at := now.Add(networkDelay)
		heap.Push(&queue, simEvent{at, func() {
			if index == p.failing {
				heap.Push(&queue, simEvent{at.Add(networkDelay), func() {
					failed++
					choice.Done(at.Add(networkDelay), "r", call.Response{Refusal: reason.UpstreamFailed, Ran: reason.RanUnknown,
						Load: call.Load{Slots: p.slots, ServiceTime: p.mean, FailureRate: 1}})
				}})
				return
			}
			slot := 0
			for i := range s.free {
				if s.free[i].Before(s.free[slot]) {
					slot = i
				}
			}
			begin := at
			if s.free[slot].After(begin) {
				begin = s.free[slot]
			}
			end := begin.Add(work)
			s.free[slot] = end
			s.waiting++
			heap.Push(&queue, simEvent{begin, func() { s.waiting--; s.running++ }})
			heap.Push(&queue, simEvent{end, func() {
				s.running--
				if s.mean == 0 {
					s.mean = work
				}
				s.mean += (work - s.mean) / 10
				load := call.Load{Running: s.running, Waiting: s.waiting, Slots: p.slots, ServiceTime: s.mean}
				heap.Push(&queue, simEvent{end.Add(networkDelay), func() {
					latencies = append(latencies, end.Add(networkDelay).Sub(now))
					choice.Done(end.Add(networkDelay), "r", call.Response{Status: 200, Ran: reason.RanYes, ReachedServer: true, Load: load})
				}})
			}})
		}})
	}
	for at := start; at.Sub(start) < length; {
		at = at.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		now := at
		heap.Push(&queue, simEvent{now, func() { arrive(now) }})
	}
	for queue.Len() > 0 {
		heap.Pop(&queue).(simEvent).run()
	}
	return summarize(latencies, failed, p.target)
}

func summarize(latencies []time.Duration, failed int, target time.Duration) outcome {
	total := float64(len(latencies) + failed)
	onTime := 0
	sorted := append([]time.Duration(nil), latencies...)
	for _, l := range latencies {
		if l <= target {
			onTime++
		}
	}
	slices.Sort(sorted)
	return outcome{onTime: float64(onTime) / total, failed: float64(failed) / total, p99: sorted[len(sorted)*99/100]}
}

var patterns = []pattern{
	{"few fast and slow servers, calm", []float64{0.6, 1, 1.4}, 9, 13, 0.35, 48 * time.Millisecond, 0.3, 150 * time.Millisecond, -1},
	{"six servers, calm", []float64{0.7, 0.7, 1.6, 0.7, 0.7, 1.6}, 9, 13, 0.5, 150 * time.Millisecond, 0.8, 400 * time.Millisecond, -1},
	{"six servers, near capacity", []float64{0.6, 1, 1.4, 0.6, 1, 1.4}, 9, 13, 0.85, 150 * time.Millisecond, 0.8, 400 * time.Millisecond, -1},
	{"many servers seen rarely", []float64{0.6, 1, 1.4, 0.6, 1, 1.4, 0.6, 1, 1.4, 0.6, 1, 1.4, 0.6, 1, 1.4, 0.6, 1, 1.4, 0.6, 1, 1.4}, 6, 87, 0.7, 150 * time.Millisecond, 0.8, 500 * time.Millisecond, -1},
}

// Guards against nodes that crowd the server whose last report was best, which
// makes requests late while other servers are idle. The baseline is a random choice
// in the same run.
func TestReplayPlacement(t *testing.T) {
	for _, p := range patterns {
		var own, random outcome
		const seeds = 3
		for seed := range uint64(seeds) {
			a, b := replay(p, seed, false), replay(p, seed, true)
			own.onTime += a.onTime / seeds
			random.onTime += b.onTime / seeds
			own.p99 += a.p99 / seeds
			random.p99 += b.p99 / seeds
		}
		t.Logf("%-34s on time %.3f, p99 %4d ms; random choice %.3f, %4d ms", p.name,
			own.onTime, own.p99.Milliseconds(), random.onTime, random.p99.Milliseconds())
		if own.onTime < random.onTime {
			t.Errorf("%s: %.3f on time, a random choice has %.3f", p.name, own.onTime, random.onTime)
		}
	}
}
