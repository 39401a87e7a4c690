package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/move"
)

const (
	moveTick = time.Second
	moveSkew = 500 * time.Millisecond
	moveLoss = 0.05 // of evidence messages
)

// moveResult is the course of one move.
type moveResult struct {
	takenBack bool
	reason    string
	done      bool
	// after is the time from the first sign of the fault to the take-back, negative
	// if the version was taken back before.
	after time.Duration
	// newCalls and badCalls are the calls of the new version and its failed or slow
	// answers, from the first sign of the fault on.
	newCalls, badCalls, calls int
}

// found reports whether the version was taken back after its fault showed itself.
func (r moveResult) found() bool { return r.takenBack && r.after >= 0 }

// moveWorld is a service with its entrances and deciders in virtual time.
type moveWorld struct {
	rnd        *rand.Rand
	traffic    moveTraffic
	service    config.Service
	plan       move.Plan
	entrances  []*moveEntrance
	deciders   []*move.Decider
	naive      *naiveDecider
	conditions []moveCondition
	faultFrom  time.Duration
	result     moveResult
}

type moveEntrance struct {
	shares    *move.TrafficSplitter
	collector *move.Collector
	skew      time.Duration
	// marks arrive by gossip at the given times.
	marks   []move.State
	arrives []time.Time
}

// runMove runs one move to its outcome.
func runMove(seed uint64, c moveCase, window time.Duration, naive bool) moveResult {
	rnd := rand.New(rand.NewPCG(seed, 0x6d6f766573))
	start := time.Date(2026, 6, 1, 8, 0, 0, 0, time.UTC)
	w := &moveWorld{rnd: rnd, traffic: drawTraffic(rnd)}
	w.service = config.Service{Name: "storefront", Version: "v1", Move: &config.Move{
		ID: fmt.Sprintf("move-%d", seed), To: "v2", AcceptedAt: start, FinishBy: start.Add(window),
	}}
	w.plan, _ = move.PlanOf(w.service)
	w.conditions, w.faultFrom = c.draw(rnd, w.traffic, window)
	for i := range w.traffic.entrances {
		shares := move.NewTrafficSplitter(move.TrafficSplitterOptions{Rand: rnd.Float64})
		shares.SetPlans(start, []move.Plan{w.plan})
		w.entrances = append(w.entrances, &moveEntrance{
			shares:    shares,
			collector: move.NewCollector(fmt.Sprintf("entrance-%d", i), 1, shares, nil),
			skew:      time.Duration((2*rnd.Float64() - 1) * float64(moveSkew)),
		})
	}
	var routes []string
	for _, r := range w.traffic.routes {
		routes = append(routes, r.name)
	}
	if naive {
		w.naive = newNaiveDecider(w.plan)
	} else {
		for i := range move.DeciderCount {
			w.deciders = append(w.deciders, move.NewDecider(w.plan, move.DeciderOptions{
				Self: fmt.Sprintf("entrance-%d", i), Routes: routes,
			}))
		}
	}
	for at := time.Duration(0); at < window && !w.result.takenBack && !w.result.done; at += moveTick {
		w.serve(start, at)
		w.decide(start.Add(at + moveTick))
	}
	return w.result
}

// serve runs the calls of one tick.
func (w *moveWorld) serve(start time.Time, at time.Duration) {
	for _, e := range w.entrances {
		for i, route := range w.traffic.routes {
			for range poisson(w.rnd, route.rate/float64(len(w.entrances)), moveTick) {
				offset := at + time.Duration(w.rnd.Int64N(int64(moveTick)))
				w.call(e, start, offset, i, route.name)
			}
		}
	}
}

func (w *moveWorld) call(e *moveEntrance, start time.Time, at time.Duration, route int, name string) {
	now := start.Add(at + e.skew)
	version := e.shares.Version(now, w.service, name)
	c := moveCall{at: at, route: route, isNew: version == w.plan.To}
	if c.isNew {
		c.share = e.shares.Share(now, w.plan)
	}
	failing, slowness := w.traffic.failing, w.traffic.slow
	plainFailing, plainSlow := failing, slowness
	for i, condition := range w.conditions {
		if i == len(w.conditions)-1 {
			plainFailing, plainSlow = failing, slowness
		}
		failing, slowness = condition(c, failing, slowness)
	}
	failed := w.rnd.Float64() < failing
	slow := w.rnd.Float64() < slowness
	e.collector.Observed(now, w.service.Name, name, version, failed, slow)
	w.result.calls++
	if !c.isNew {
		return
	}
	if w.faultFrom < 0 && (failing > plainFailing || slowness > plainSlow) {
		w.faultFrom = at
	}
	if w.faultFrom >= 0 && at >= w.faultFrom {
		w.result.newCalls++
		if failed || slow {
			w.result.badCalls++
		}
	}
	if w.naive != nil {
		w.naive.observed(now, name, failed, slow)
	}
}

// decide delivers evidence and marks and lets the deciders decide.
func (w *moveWorld) decide(now time.Time) {
	if w.naive != nil {
		w.spread(now, w.naive.decide(now))
	}
	var parts []move.Report
	for _, e := range w.entrances {
		parts = append(parts, e.collector.PendingReports(now.Add(e.skew))...)
	}
	for i, d := range w.deciders {
		for _, p := range parts {
			if w.rnd.Float64() >= moveLoss {
				_ = d.Merge(p)
			}
		}
		d.SetUpstreams(now, w.traffic.upstreams, w.traffic.upstreams)
		decided := d.Decide(now.Add(w.entrances[i].skew))
		w.spread(now, decided.State)
	}
	for _, e := range w.entrances {
		e.deliver(now)
	}
}

// spread sends a mark to all entrances and deciders.
func (w *moveWorld) spread(now time.Time, m move.State) {
	if m.RolledBack && !w.result.takenBack {
		w.result.takenBack, w.result.reason = true, m.Reason
		w.result.after = now.Sub(w.plan.AcceptedAt) - w.faultFrom
		if w.faultFrom < 0 {
			w.result.after = -1
		}
	}
	w.result.done = w.result.done || m.Done && !m.RolledBack
	for _, d := range w.deciders {
		d.MergeState(m)
	}
	for _, e := range w.entrances {
		if n := len(e.marks); n > 0 && e.marks[n-1].Covers(m) || n == 0 && e.shares.State(m.Move).Covers(m) {
			continue
		}
		e.marks = append(e.marks, m)
		e.arrives = append(e.arrives, now.Add(time.Duration(w.rnd.Int64N(int64(1500*time.Millisecond)))))
	}
}

func (e *moveEntrance) deliver(now time.Time) {
	for len(e.marks) > 0 && !e.arrives[0].After(now) {
		e.shares.MergeState(e.marks[0])
		e.marks, e.arrives = e.marks[1:], e.arrives[1:]
	}
}
