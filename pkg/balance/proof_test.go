package balance

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pickResult is a result of Pick with the state in which it was called.
type pickResult struct {
	endpoint Endpoint
	ok       bool
	version  string
	listed   map[string]Endpoint
	exclude  map[string]bool
	leaving  map[string]time.Time // time of the last refusal because of leaving, by instance
	now      time.Time
	ejected  int
}

// check returns an error for the first violated invariant.
func (p pickResult) check() error {
	if bound := len(p.listed) / ejectedDivisor; p.ejected > bound {
		return fmt.Errorf("%d of %d upstreams are ejected", p.ejected, len(p.listed))
	}
	usable := func(e Endpoint) bool {
		left, leaves := p.leaving[e.Instance]
		return (p.version == "" || e.Version == p.version) && !p.exclude[e.Instance] &&
			(!leaves || p.now.Sub(left) >= leavingExclusionTime)
	}
	if !p.ok {
		for _, e := range p.listed {
			if usable(e) {
				return fmt.Errorf("no upstream was picked although %s is eligible", e.Instance)
			}
		}
		return nil
	}
	if listed, ok := p.listed[p.endpoint.Instance]; !ok || listed != p.endpoint {
		return fmt.Errorf("%s was picked although it is not listed", p.endpoint.Instance)
	}
	if !usable(p.endpoint) {
		return fmt.Errorf("%s was picked although it is excluded, leaving or of another version", p.endpoint.Instance)
	}
	return nil
}

// Guards against picking excluded, leaving or unlisted upstreams or those of another
// version, and against ejecting more than a third, under random schedules.
func TestProofPickInvariants(t *testing.T) {
	versions := []string{"v1", "v2"}
	rapid.Check(t, func(t *rapid.T) {
		b := New(Locality{FailureDomain: "a", Region: "r"}, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now := start
		listed, leaving := map[string]Endpoint{}, map[string]time.Time{}
		var started []Endpoint
		incarnation := uint64(0) // increases with every process, as in the member table
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				next, list := map[string]Endpoint{}, []Endpoint(nil)
				for i := range 9 {
					if !rapid.Bool().Draw(t, "listed") {
						continue
					}
					name := fmt.Sprintf("i%d", i)
					e, known := listed[name]
					incarnation++
					if !known || rapid.IntRange(0, 5).Draw(t, "replaced") == 0 {
						e = Endpoint{
							Instance: name, Incarnation: incarnation, Service: "s", Slots: 9,
							FailureDomain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
							Region:        rapid.SampledFrom([]string{"r", "q"}).Draw(t, "region"),
							Version:       rapid.SampledFrom(versions).Draw(t, "version"),
						}
						delete(leaving, name)
					}
					next[name] = e
					list = append(list, e)
				}
				for name := range leaving {
					if _, kept := next[name]; !kept {
						delete(leaving, name)
					}
				}
				listed = next
				b.Update(now, "s", list)
			},
			"pick": func(t *rapid.T) {
				p := pickResult{
					version: rapid.SampledFrom(append(versions, "")).Draw(t, "version"),
					exclude: map[string]bool{}, listed: listed, leaving: leaving, now: now, ejected: b.Ejected("s"),
				}
				for i := range rapid.IntRange(0, 4).Draw(t, "excluded") {
					p.exclude[fmt.Sprintf("i%d", i)] = true
				}
				p.endpoint, p.ok = b.Pick(now, "s", p.version, p.exclude)
				if err := p.check(); err != nil {
					t.Fatal(err)
				}
				if p.ok {
					b.Start(now, p.endpoint)
					started = append(started, p.endpoint)
				}
			},
			"observe": func(t *rapid.T) {
				if len(started) == 0 {
					t.Skip("no call")
				}
				e := started[0]
				started = started[1:]
				r := Result{
					Latency: time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond,
					Failed:  rapid.IntRange(0, 3).Draw(t, "failed") > 0,
					NotRun:  rapid.IntRange(0, 9).Draw(t, "not run") == 0,
					Leaving: rapid.IntRange(0, 19).Draw(t, "leaving") == 0,
					Load:    &Load{Running: rapid.IntRange(-1, 9).Draw(t, "running"), Queued: rapid.IntRange(0, 30).Draw(t, "queued")},
				}
				b.Observe(now, e, r)
				if r.Leaving && listed[e.Instance] == e {
					leaving[e.Instance] = now
				}
			},
			"health": func(t *rapid.T) {
				b.ReportHealth(now, "s", fmt.Sprintf("i%d", rapid.IntRange(0, 8).Draw(t, "instance")), rapid.Bool().Draw(t, "healthy"))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// Guards against an invariant check that accepts every result.
func TestProofPickCheckerFails(t *testing.T) {
	one := Endpoint{Instance: "i0", Incarnation: 1, Service: "s", Version: "v1"}
	newer := one
	newer.Incarnation = 2
	listed := map[string]Endpoint{"i0": one}
	if err := (pickResult{endpoint: one, ok: true, listed: listed, now: start}).check(); err != nil {
		t.Fatalf("valid result: %v", err)
	}
	for name, p := range map[string]pickResult{
		"too many ejected":    {endpoint: one, ok: true, listed: listed, ejected: 1},
		"not listed":          {endpoint: one, ok: true},
		"another incarnation": {endpoint: newer, ok: true, listed: listed},
		"excluded":            {endpoint: one, ok: true, listed: listed, exclude: map[string]bool{"i0": true}},
		"another version":     {endpoint: one, ok: true, listed: listed, version: "v2"},
		"leaving":             {endpoint: one, ok: true, listed: listed, leaving: map[string]time.Time{"i0": start}, now: start},
		"nothing picked":      {listed: listed},
	} {
		if p.check() == nil {
			t.Errorf("%s: the check reported no violation", name)
		}
	}
}

// Guards against data races between concurrent calls and updates.
func TestProofConcurrentUse(t *testing.T) {
	b := newBalancer()
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			now := start
			for i := range 500 {
				now = now.Add(time.Millisecond)
				if i%50 == worker {
					b.Update(now, "s", endpoints(6+worker%3, "a", "b", "c"))
				}
				if e, ok := b.Pick(now, "s", "", nil); ok {
					b.Start(now, e)
					b.Observe(now, e, Result{Latency: time.Millisecond, Failed: i%3 == 0})
					b.ReportHealth(now, "s", e.Instance, i%2 == 0)
				}
			}
		})
	}
	wg.Wait()
	if n := b.Ejected("s"); n > 8/ejectedDivisor {
		t.Errorf("%d upstreams are ejected", n)
	}
}
