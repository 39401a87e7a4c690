package move

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func testCollector() (*TrafficSplitter, *Collector) {
	s := NewTrafficSplitter(TrafficSplitterOptions{})
	s.SetPlans(begin, []Plan{testPlan()})
	return s, NewCollector("i1", 1, s, nil)
}

// TestCollectorIgnores guards against counting calls that are no evidence on the two
// versions: of other services or versions, right after a stage change, or after a
// rollback.
func TestCollectorIgnores(t *testing.T) {
	s, c := testCollector()
	later := begin.Add(time.Minute)
	c.Observed(begin, "floodbook", "a", "v1", false, false) // within 1 s of the start of the first stage
	c.Observed(later, "other", "a", "v1", false, false)
	c.Observed(later, "floodbook", "a", "v9", false, false)
	c.Observed(testPlan().at(0.2), "floodbook", "a", "v2", true, false) // the stage has just changed
	s.MergeState(State{Move: "m1", RolledBack: true})
	c.Observed(testPlan().at(0.21), "floodbook", "a", "v2", true, false)
	if p, ok := c.FullReport("m1"); ok {
		t.Errorf("report %+v, want none", p)
	}
}

// TestCollectorBounds guards against a report that grows without bound with time or
// with the number of routes.
func TestCollectorBounds(t *testing.T) {
	_, c := testCollector()
	for i := range 7200 {
		c.Observed(begin.Add(time.Duration(i)*time.Second/2), "floodbook", fmt.Sprintf("route-%d", i%200), "v1", false, false)
	}
	p, ok := c.FullReport("m1")
	if !ok || len(p.Buckets) != maxBuckets {
		t.Fatalf("%d buckets, want %d", len(p.Buckets), maxBuckets)
	}
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	data, err := EncodeReport(p)
	if err != nil || len(data) > maxReportBytes {
		t.Errorf("report has %d bytes, error %v", len(data), err)
	}
}

// TestCollectorLostMessages guards against evidence that is lost because the message
// that carried it was lost.
func TestCollectorLostMessages(t *testing.T) {
	_, c := testCollector()
	rnd := rand.New(rand.NewPCG(1, 1))
	d := NewDecider(testPlan(), DeciderOptions{})
	// The first response starts the period after a stage change in which none are
	// counted.
	c.Observed(begin, "floodbook", "a", "v2", true, false)
	sent := 0
	for i := range 120 {
		now := begin.Add(2*time.Second + time.Duration(i)*time.Second)
		if i < 60 {
			c.Observed(now, "floodbook", "a", "v2", true, false)
		}
		for _, p := range c.PendingReports(now) {
			sent++
			if rnd.Float64() < 0.5 {
				if err := d.Merge(p); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	if p, ok := c.FullReport("m1"); ok {
		_ = d.Merge(p)
	}
	if got := d.routes["a"].total.New; got != (Counts{60, 60, 0}) {
		t.Errorf("merged %+v, want 60 failed calls", got)
	}
	if sent > 62 {
		t.Errorf("%d reports sent for 60 changes", sent)
	}
}

// TestCollectorDropsFinishedMoves guards against a memory leak: the counts of a
// finished move must be dropped.
func TestCollectorDropsFinishedMoves(t *testing.T) {
	s, c := testCollector()
	for i := range 2 {
		c.Observed(begin.Add(time.Duration(i)*time.Minute), "floodbook", "a", "v1", false, false)
	}
	s.SetOutcome(Outcome{Move: "m1", Result: ResultDone})
	if reports := c.PendingReports(begin.Add(time.Hour)); len(reports) != 0 || len(c.moves) != 0 {
		t.Errorf("%d reports and %d moves are left, want none", len(reports), len(c.moves))
	}
}

func BenchmarkCollectorObserved(b *testing.B) {
	_, c := testCollector()
	now := begin.Add(time.Minute)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Observed(now, "floodbook", "a", "v1", false, false)
		}
	})
}

// BenchmarkReport measures the encoded size of the report that a node sends each second
// and of the full one, for 6 routes.
func BenchmarkReport(b *testing.B) {
	_, c := testCollector()
	for i := range 3600 {
		for _, route := range []string{"catalogue", "stock", "orders", "charts", "returns", "search"} {
			c.Observed(begin.Add(time.Duration(i)*time.Second), "floodbook", route, []string{"v1", "v2"}[i%2], i%50 == 0, i%20 == 0)
		}
	}
	full, _ := c.FullReport("m1")
	recent := full
	recent.Buckets = full.Buckets[len(full.Buckets)-1:]
	for b.Loop() {
		data, _ := EncodeReport(full)
		small, _ := EncodeReport(recent)
		b.ReportMetric(float64(len(data)), "full-bytes")
		b.ReportMetric(float64(len(small)), "recent-bytes")
	}
}

// BenchmarkDecide measures the cost of one second of work of a decider that gets
// reports from 13 nodes.
func BenchmarkDecide(b *testing.B) {
	d := NewDecider(testPlan(), DeciderOptions{Routes: []string{"a", "b", "c"}})
	now, total := begin, uint64(0)
	for b.Loop() {
		now = now.Add(time.Second)
		total += 10
		for i := range 13 {
			routes := map[string]Pair{}
			for _, r := range []string{"a", "b", "c"} {
				routes[r] = Pair{Old: Counts{total, total / 100, total / 50}, New: Counts{total, total / 100, total / 50}}
			}
			_ = d.Merge(Report{Move: "m1", Instance: fmt.Sprint(i), Buckets: []Bucket{{Start: 1, Stage: 3, Routes: routes}}})
		}
		d.Decide(now)
	}
}
