package move

import (
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

func testService() config.Service {
	p := testPlan()
	return config.Service{Name: p.Service, Version: p.From, Move: &config.Move{
		ID: p.ID, To: p.To, AcceptedAt: p.AcceptedAt, FinishBy: p.FinishBy,
	}}
}

// TestTrafficSplitterVersion guards against a choice of versions that does not match
// the share.
func TestTrafficSplitterVersion(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	s := NewTrafficSplitter(TrafficSplitterOptions{Rand: rnd.Float64})
	if got := s.Version(begin, config.Service{Name: "x", Version: "v7"}, "r"); got != "v7" {
		t.Errorf("version %s without a move, want v7", got)
	}
	count := 0
	for range 20000 {
		if s.Version(testPlan().at(0.4), testService(), "r") == "v2" {
			count++
		}
	}
	if got := float64(count) / 20000; math.Abs(got-0.25) > 0.02 {
		t.Errorf("share %g of calls went to the new version, want 0.25", got)
	}
}

// TestTrafficSplitterShare guards against move states, recorded outcomes, edits and
// missing upstreams that do not change the share as specified.
func TestTrafficSplitterShare(t *testing.T) {
	p := testPlan()
	edited := func(edit func(*Plan)) Plan {
		q := p
		edit(&q)
		return q
	}
	tests := []struct {
		name    string
		options TrafficSplitterOptions
		prepare func(*TrafficSplitter)
		plan    Plan
		at      float64
		want    float64
	}{
		{"schedule", TrafficSplitterOptions{}, func(*TrafficSplitter) {}, p, 0.4, 0.25},
		{"state", TrafficSplitterOptions{}, func(s *TrafficSplitter) { s.MergeState(State{Move: "m1", Stage: 3}) }, p, 0.4, 0.5},
		{"state before the plan", TrafficSplitterOptions{}, func(s *TrafficSplitter) {
			s.MergeState(State{Move: "m1", RolledBack: true})
			s.SetPlans(begin, []Plan{p})
		}, p, 0.4, 0},
		{"deadline moved out", TrafficSplitterOptions{}, func(s *TrafficSplitter) {
			s.SetPlans(begin, []Plan{p})
			s.SetPlans(p.at(0.6), []Plan{edited(func(q *Plan) { q.FinishBy = q.FinishBy.Add(9 * time.Hour) })})
		}, edited(func(q *Plan) { q.FinishBy = q.FinishBy.Add(9 * time.Hour) }), 0.061, 0.5},
		{"withdraw undone", TrafficSplitterOptions{}, func(s *TrafficSplitter) {
			s.SetPlans(begin, []Plan{edited(func(q *Plan) { q.Withdraw = true })})
			s.SetPlans(begin, []Plan{p})
		}, p, 0.4, 0},
		{"record done over a rollback state", TrafficSplitterOptions{}, func(s *TrafficSplitter) {
			s.MergeState(State{Move: "m1", RolledBack: true})
			s.SetOutcome(Outcome{Move: "m1", Result: ResultDone})
		}, p, 0.4, 1},
		{"record rolled back over a done state", TrafficSplitterOptions{}, func(s *TrafficSplitter) {
			s.MergeState(State{Move: "m1", Done: true})
			s.SetOutcome(Outcome{Move: "m1", Result: ResultRolledBack})
		}, p, 0.4, 0},
		{"no new upstream", TrafficSplitterOptions{Available: func(_, v string) bool { return v == "v1" }}, func(*TrafficSplitter) {}, p, 0.8, 0},
		{"no old upstream", TrafficSplitterOptions{Available: func(_, v string) bool { return v == "v2" }}, func(*TrafficSplitter) {}, p, 0.1, 1},
		{"rolled back without old upstream", TrafficSplitterOptions{Available: func(_, v string) bool { return v == "v2" }}, func(s *TrafficSplitter) {
			s.MergeState(State{Move: "m1", RolledBack: true})
		}, p, 0.1, 0},
		{"restarted", TrafficSplitterOptions{Started: p.at(0.4)}, func(*TrafficSplitter) {}, p, 0.401, 0},
		{"restarted, states read", TrafficSplitterOptions{Started: p.at(0.4)}, (*TrafficSplitter).SetSynced, p, 0.401, 0.25},
		{"restarted long ago", TrafficSplitterOptions{Started: p.at(0.3)}, func(*TrafficSplitter) {}, p, 0.4, 0.25},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewTrafficSplitter(tt.options)
			tt.prepare(s)
			if got := s.Share(tt.plan.at(tt.at), tt.plan); got != tt.want {
				t.Errorf("share %g, want %g", got, tt.want)
			}
		})
	}
}

// TestTrafficSplitterDropsFinishedMoves guards against unbounded move state: the state
// of a finished move must be dropped with its plan, and the number of unknown moves
// must be bounded.
func TestTrafficSplitterDropsFinishedMoves(t *testing.T) {
	s := NewTrafficSplitter(TrafficSplitterOptions{})
	s.SetPlans(begin, []Plan{testPlan()})
	s.SetPlans(begin, nil)
	for i := range 2 * maxMoves {
		s.MergeState(State{Move: string(rune(1000 + i)), Stage: 1})
	}
	if got := len(s.view.Load().moves); got != maxMoves {
		t.Errorf("%d moves are kept, want %d", got, maxMoves)
	}
}

// TestTrafficSplitterConcurrent guards against data races between calls and updates.
func TestTrafficSplitterConcurrent(t *testing.T) {
	s := NewTrafficSplitter(TrafficSplitterOptions{})
	c := NewCollector("i1", 1, s, nil)
	s.SetPlans(begin, []Plan{testPlan()})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 500 {
				now := begin.Add(time.Duration(j) * 5 * time.Second)
				c.Observed(now, "floodbook", "a", s.Version(now, testService(), "a"), false, false)
				if j%50 == i {
					s.MergeState(State{Move: "m1", Stage: uint8(i % 3)})
					s.SetPlans(now, []Plan{testPlan()})
					c.PendingReports(now)
				}
			}
		})
	}
	wg.Wait()
}

func BenchmarkTrafficSplitterVersion(b *testing.B) {
	s := NewTrafficSplitter(TrafficSplitterOptions{})
	s.SetPlans(begin, []Plan{testPlan()})
	service, now := testService(), testPlan().at(0.4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Version(now, service, "a")
		}
	})
}
