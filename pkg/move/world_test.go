package move

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

const (
	worldStep   = 2 * time.Second
	worldWindow = 5 * time.Minute
	worldEnd    = 9 * time.Minute
)

// fault is one disturbance of a random schedule.
type fault struct {
	kind faultKind
	// from and lasts are in steps.
	from, lasts int
	node        int
}

type faultKind int

const (
	pauseNode faultKind = iota
	platformDown
	loseAnswers
	partition // the node gets and sends no gossip
	restartNode
	restartAll
	withdraw
	sooner // an edit halves the rest of the window
	later  // an edit moves the deadline out by a fifth
	turnsBad
	faultKinds
)

// world runs one move with real Shares, Deciders and Recorders on three nodes,
// each of which is a decider, and records the history.
type world struct {
	rnd     *rand.Rand
	now     time.Time
	table   *fakeTable
	plan    Plan
	nodes   []*worldNode
	faults  []fault
	badFrom int
	history []event
	broken  error
}

type worldNode struct {
	index, process int
	skew           time.Duration
	plan           Plan // in force at the node
	shares         *TrafficSplitter
	decider        *Decider
	recorder       *Recorder
	counts         Report
	// toWrite is a decided outcome that is not written yet: between decision and
	// write the node may be paused.
	toWrite *Outcome
	inbox   []State
	arrives []time.Time
}

func newWorld(seed uint64, faults []fault) *world {
	rnd := rand.New(rand.NewPCG(seed, 2))
	w := &world{
		rnd: rnd, now: begin, table: newFakeTable(seed), faults: faults, badFrom: -1,
		plan: Plan{
			ID: "m1", Service: "floodbook", From: "v1", To: "v2",
			AcceptedAt: begin, FinishBy: begin.Add(worldWindow),
		},
	}
	for i := range 3 {
		n := &worldNode{index: i, skew: time.Duration(rnd.Int64N(int64(time.Second))) - 500*time.Millisecond}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	return w
}

// start starts a new process of the node, without any state.
func (w *world) start(n *worldNode) {
	n.process++
	n.plan = w.plan
	n.shares = NewTrafficSplitter(TrafficSplitterOptions{Rand: w.rnd.Float64, Started: w.now.Add(n.skew)})
	n.shares.SetPlans(w.now.Add(n.skew), []Plan{w.plan})
	n.decider = NewDecider(w.plan, DeciderOptions{Self: n.name(), Routes: []string{"a"}})
	n.recorder = NewRecorder(w.table, nil)
	n.counts = Report{Move: w.plan.ID, Instance: fmt.Sprint(n.index), Incarnation: uint64(n.process)}
	n.toWrite, n.inbox, n.arrives = nil, nil, nil
}

func (n *worldNode) name() string { return fmt.Sprintf("%d.%d", n.index, n.process) }

// active reports whether a fault of the kind holds for the node in the step.
func (w *world) active(kind faultKind, step, node int) bool {
	for _, f := range w.faults {
		if f.kind == kind && f.node == node && step >= f.from && step < f.from+f.lasts {
			return true
		}
	}
	return false
}

func (w *world) run() {
	for step := 0; w.now.Before(w.end()); step++ {
		w.now = begin.Add(time.Duration(step) * worldStep)
		closing := w.now.After(w.end().Add(-time.Minute))
		w.table.down = w.active(platformDown, step, 0) && !closing
		w.table.lose = 0
		if w.active(loseAnswers, step, 0) && !closing {
			w.table.lose = 0.6
		}
		if step%7 == 0 {
			w.table.applyLate()
		}
		w.events(step)
		for _, n := range w.nodes {
			if !w.active(pauseNode, step, n.index) || closing {
				w.work(n, step, w.active(partition, step, n.index) && !closing)
			}
		}
		w.observe()
	}
}

// end returns the end of the run; in the minute before it, all faults are over.
func (w *world) end() time.Time {
	if late := w.plan.FinishBy.Add(4 * time.Minute); late.After(begin.Add(worldEnd)) {
		return late
	}
	return begin.Add(worldEnd)
}

// events starts the faults that begin in the step.
func (w *world) events(step int) {
	for _, f := range w.faults {
		if f.from != step {
			continue
		}
		switch f.kind {
		case restartNode:
			w.start(w.nodes[f.node])
		case restartAll:
			for _, n := range w.nodes {
				w.start(n)
			}
		case turnsBad:
			w.badFrom = step
		case withdraw:
			w.plan.Withdraw = true
		case sooner:
			if rest := w.plan.FinishBy.Sub(w.now); rest > 0 {
				w.plan.FinishBy = w.now.Add(rest / 2)
			}
		case later:
			w.plan.FinishBy = w.plan.FinishBy.Add(worldWindow / 5)
		}
	}
}

// work is one step of a running node.
func (w *world) work(n *worldNode, step int, cut bool) {
	now := w.now.Add(n.skew)
	n.plan = w.plan
	n.shares.SetPlans(now, []Plan{w.plan})
	n.decider.SetPlan(now, w.plan)
	n.decider.SetUpstreams(now, 3, 3)
	if !cut {
		w.pull(n)
		for len(n.inbox) > 0 && !n.arrives[0].After(w.now) {
			n.shares.MergeState(n.inbox[0])
			n.inbox, n.arrives = n.inbox[1:], n.arrives[1:]
		}
		w.traffic(n, now, step)
	}
	n.decider.MergeState(n.shares.State(w.plan.ID))
	w.write(n)
	marked := n.shares.State(w.plan.ID).RolledBack
	decision := n.decider.Decide(now)
	if o := decision.Outcome; o != nil {
		w.history = append(w.history, event{at: w.now, node: n.name(), kind: decided, result: o.Result, marked: marked})
	}
	n.shares.MergeState(decision.State)
	n.toWrite = decision.Outcome
	if !cut {
		for _, other := range w.nodes {
			if other != n && w.rnd.Float64() > 0.2 {
				other.inbox = append(other.inbox, decision.State)
				other.arrives = append(other.arrives, w.now.Add(time.Duration(w.rnd.Int64N(int64(3*time.Second)))))
			}
		}
	}
}

// write writes the outcome decided in an earlier step, or at times reads the row.
func (w *world) write(n *worldNode) {
	var o Outcome
	var err error
	found := false
	if n.toWrite != nil {
		o, err = n.recorder.Write(context.Background(), *n.toWrite)
		found = err == nil
		if err != nil && !errors.Is(err, ErrPending) {
			w.broken = err
		}
	} else if w.rnd.IntN(4) == 0 {
		o, found, err = n.recorder.Read(context.Background(), w.plan.ID)
	}
	if found && err == nil {
		w.history = append(w.history, event{at: w.now, node: n.name(), kind: answerSeen, result: o.Result})
		n.shares.SetOutcome(o)
		n.decider.SetOutcome(o)
	}
}

// pull takes over the marks of a random node.
func (w *world) pull(n *worldNode) {
	other := w.nodes[w.rnd.IntN(len(w.nodes))]
	if other == n || other.shares.settling(w.now.Add(other.skew), w.plan) {
		return
	}
	n.shares.MergeState(other.shares.State(w.plan.ID))
	n.shares.SetSynced()
}

// traffic adds 50 calls of the node to its evidence and sends it to all deciders.
func (w *world) traffic(n *worldNode, now time.Time, step int) {
	plan, stage, ok := n.shares.running(now, w.plan.Service)
	if !ok {
		return
	}
	bucket := Bucket{Start: now.Truncate(20 * time.Second).Unix(), Stage: stage, Routes: map[string]Pair{}}
	if i := len(n.counts.Buckets) - 1; i >= 0 && compareBuckets(n.counts.Buckets[i], bucket) >= 0 {
		bucket = n.counts.Buckets[i]
	}
	pair := bucket.Routes["a"]
	service := config.Service{Name: plan.Service, Version: plan.From, Move: &config.Move{
		ID: plan.ID, To: plan.To, AcceptedAt: plan.AcceptedAt, FinishBy: plan.FinishBy,
	}}
	for range 50 {
		failing, counts := 0.01, &pair.Old
		if n.shares.Version(now, service, "a") == plan.To {
			counts = &pair.New
			if w.badFrom >= 0 && step >= w.badFrom {
				failing = 0.5
			}
		}
		counts.record(w.rnd.Float64() < failing, false)
	}
	bucket.Routes = map[string]Pair{"a": pair}
	n.counts = n.counts.Merge(Report{
		Move: n.counts.Move, Instance: n.counts.Instance, Incarnation: n.counts.Incarnation, Buckets: []Bucket{bucket},
	})
	for _, other := range w.nodes {
		if w.rnd.Float64() > 0.2 {
			if err := other.decider.Merge(n.counts); err != nil {
				w.broken = err
			}
		}
	}
}

// observe adds the state of all nodes and of the row to the history.
func (w *world) observe() {
	for _, n := range w.nodes {
		mark := n.shares.State(w.plan.ID)
		e := event{at: w.now, node: n.name(), kind: shareSeen, stage: mark.Stage, marked: mark.RolledBack, finishBy: n.plan.FinishBy}
		e.settling = n.shares.settling(w.now.Add(n.skew), n.plan)
		e.share = n.shares.Share(w.now.Add(n.skew), n.plan)
		if o, ok := n.shares.Outcome(w.plan.ID); ok {
			e.result = o.Result
		}
		w.history = append(w.history, e)
	}
	if value, ok := w.table.rows["move/"+w.plan.ID]; ok {
		o, err := decodeOutcome(w.plan.ID, value)
		if err != nil {
			w.broken = err
		}
		w.history = append(w.history, event{at: w.now, kind: rowSeen, result: o.Result})
	}
}
