package balance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMain sets the seed of rapid to the environment variable SEED, or to 1.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", strconv.FormatUint(envSeed(), 10)); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// envSeed returns the value of the environment variable SEED, or 1.
func envSeed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

func newBalancer() *Balancer {
	return New(Locality{FailureDomain: "a", Region: "r"}, rand.New(rand.NewPCG(envSeed(), 1)))
}

// endpoints returns n upstreams of service s, assigned to the failure domains in turn.
func endpoints(n int, domains ...string) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{
			Instance: fmt.Sprintf("i%d", i), Incarnation: 1, FailureDomain: domains[i%len(domains)],
			Region: "r", Service: "s", Version: "v1", Slots: 9,
		})
	}
	return list
}

// run makes sequential calls at intervals of 1 ms and counts them by instance.
func run(b *Balancer, now *time.Time, calls int, result func(Endpoint) Result) map[string]int {
	counts := make(map[string]int)
	for range calls {
		*now = now.Add(time.Millisecond)
		e, ok := b.Pick(*now, "s", "", nil)
		if !ok {
			counts[""]++
			continue
		}
		b.Start(*now, e)
		b.Observe(*now, e, result(e))
		counts[e.Instance]++
	}
	return counts
}

func healthy(Endpoint) Result { return Result{Latency: 10 * time.Millisecond} }

// Guards against calls to other failure domains while the upstreams of the local one
// have free slots.
func TestPickPrefersNearestDomain(t *testing.T) {
	b, now := newBalancer(), start
	b.Update(now, "s", endpoints(6, "a", "b", "c"))
	run(b, &now, 500, healthy)
	counts := run(b, &now, 10000, healthy)
	if near := counts["i0"] + counts["i3"]; near < 9900 {
		t.Errorf("%d of 10000 calls stayed in the failure domain, want at least 9900: %v", near, counts)
	}
}

// Guards against ejecting more than a third of the upstreams, and against upstreams
// that stay ejected after they have recovered.
func TestEjectionAndRecovery(t *testing.T) {
	b, now := newBalancer(), start
	b.Update(now, "s", endpoints(6, "a"))
	failing := func(e Endpoint) Result { return Result{Latency: time.Millisecond, Failed: e.Instance < "i4"} }
	run(b, &now, 2000, failing)
	if n := b.Ejected("s"); n != 2 {
		t.Fatalf("%d of 6 upstreams ejected while 4 fail, want 2", n)
	}
	now = now.Add(2 * ejectMax)
	for range 100 {
		now = now.Add(probeInterval)
		run(b, &now, 10, healthy)
	}
	if n := b.Ejected("s"); n != 0 {
		t.Errorf("%d upstreams still ejected after recovery", n)
	}
}

// Guards against allocations in the path of every call.
func TestPickDoesNotAllocate(t *testing.T) {
	b, now := newBalancer(), start
	b.Update(now, "s", endpoints(12, "a", "b", "c"))
	exclude := map[string]bool{"i0": true}
	allocs := testing.AllocsPerRun(1000, func() {
		e, _ := b.Pick(now, "s", "v1", exclude)
		b.Start(now, e)
		b.Observe(now, e, Result{Latency: time.Millisecond, Load: nil})
	})
	if allocs != 0 {
		t.Errorf("%v allocations per call, want 0", allocs)
	}
}

// Guards against calls that stay in the local failure domain although its upstreams are
// full or slow.
func TestSpillover(t *testing.T) {
	for name, result := range map[string]func(Endpoint) Result{
		"full": func(e Endpoint) Result {
			load := Load{Running: 3, Slots: 9}
			if e.FailureDomain == "a" {
				load = Load{Running: 9, Slots: 9}
			}
			return Result{Latency: 10 * time.Millisecond, Load: &load}
		},
		"slow": func(e Endpoint) Result {
			if e.FailureDomain == "a" {
				return Result{Latency: 60 * time.Millisecond}
			}
			return Result{Latency: 10 * time.Millisecond}
		},
	} {
		b, now := newBalancer(), start
		b.Update(now, "s", endpoints(6, "a", "b", "c"))
		run(b, &now, 2000, result)
		counts := run(b, &now, 3000, result)
		// Each of the two local upstreams must get less than an equal share.
		if near := counts["i0"] + counts["i3"]; near > 1000 {
			t.Errorf("%s: %d of 3000 calls stayed in the failure domain: %v", name, near, counts)
		}
	}
}

// Guards against sending a new upstream more calls than it can run while it is cold,
// and against never sending it its full share.
func TestRamp(t *testing.T) {
	b, now := newBalancer(), start
	b.Update(now, "s", endpoints(5, "a"))
	run(b, &now, 1000, healthy)
	b.Update(now, "s", endpoints(6, "a")) // i5 is new
	first := run(b, &now, 1000, healthy)["i5"]
	now = now.Add(rampTime)
	full := run(b, &now, 1000, healthy)["i5"]
	if first > 60 || first == 0 {
		t.Errorf("%d of the first 1000 calls went to the new upstream, want 1 to 60", first)
	}
	if full < 100 {
		t.Errorf("%d of 1000 calls went to the new upstream after the ramp, want about 167", full)
	}
}

// Guards against health checks or load reports that override observed results.
func TestMisleadingReports(t *testing.T) {
	b, now := newBalancer(), start
	b.Update(now, "s", endpoints(4, "a"))
	result := func(e Endpoint) Result {
		b.ReportHealth(now, "s", "i0", false)
		b.ReportHealth(now, "s", "i1", true)
		load := Load{Running: 3, Slots: 9}
		if e.Instance == "i2" {
			load = Load{Running: 9, Queued: 18, Slots: 9}
		}
		return Result{Latency: 10 * time.Millisecond, Failed: e.Instance == "i1", Load: &load}
	}
	run(b, &now, 30_000, result)
	counts := run(b, &now, 4000, result)
	if counts["i0"] < 500 || counts["i2"] < 500 {
		t.Errorf("healthy upstreams that are reported unhealthy (i0) or full (i2) get too few calls: %v", counts)
	}
	if counts["i1"] > 40 {
		t.Errorf("a failing upstream that is reported healthy (i1) gets too many calls: %v", counts)
	}
}

// Guards against attributing results of an earlier process or version of an instance to
// its successor.
func TestUpdateReplacesProcess(t *testing.T) {
	b, now := newBalancer(), start
	old := endpoints(3, "a")
	b.Update(now, "s", old)
	for range 2 * ejectConsecutive {
		b.Start(now, old[0])
		b.Observe(now, old[0], Result{Failed: true})
	}
	if b.Ejected("s") != 1 {
		t.Fatal("the failing upstream was not ejected")
	}
	next := endpoints(3, "a")
	next[0].Version = "v2"
	b.Update(now, "s", next)
	b.Observe(now, old[0], Result{Failed: true})
	if n := b.Ejected("s"); n != 0 {
		t.Errorf("%d upstreams are ejected after the process was replaced", n)
	}
	if e, ok := b.Pick(now, "s", "v2", nil); !ok || e.Instance != "i0" {
		t.Errorf("Pick of version v2 returned %v, %v", e.Instance, ok)
	}
	if e, ok := b.Pick(now, "s", "v3", nil); ok {
		t.Errorf("Pick of an unknown version returned %v", e.Instance)
	}
}
