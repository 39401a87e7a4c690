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
	simulationStep   = 2 * time.Second
	simulationWindow = 5 * time.Minute
	simulationEnd    = 9 * time.Minute
)

// fault is one injected fault of a random schedule.
type fault struct {
	kind faultKind
	// from and lasts are numbers of steps.
	from, lasts int
	node        int
}

type faultKind int

const (
	pauseNode faultKind = iota
	platformDown
	loseResponses
	partition // the node neither receives nor sends gossip
	restartNode
	restartAll
	withdraw
	earlierDeadline // an edit halves the remaining time to the deadline
	laterDeadline   // an edit extends the deadline by a fifth of the window
	newVersionFails
	faultKinds
)

// simulation runs one move with real TrafficSplitters, Deciders and Recorders on three
// nodes, each of which is a decider, and records the history.
type simulation struct {
	rnd       *rand.Rand
	now       time.Time
	table     *fakeTable
	plan      Plan
	nodes     []*simulatedNode
	faults    []fault
	failsFrom int
	history   []event
	err       error
}

type simulatedNode struct {
	index, process int
	skew           time.Duration
	plan           Plan // in force at the node
	splitter       *TrafficSplitter
	decider        *Decider
	recorder       *Recorder
	counts         Report
	// pendingOutcome is a decided outcome that has not been written yet: the node may
	// be paused between the decision and the write.
	pendingOutcome *Outcome
	inbox          []State
	arrives        []time.Time
}

func newSimulation(seed uint64, faults []fault) *simulation {
	rnd := rand.New(rand.NewPCG(seed, 2))
	w := &simulation{
		rnd: rnd, now: begin, table: newFakeTable(seed), faults: faults, failsFrom: -1,
		plan: Plan{
			ID: "m1", Service: "floodbook", From: "v1", To: "v2",
			AcceptedAt: begin, FinishBy: begin.Add(simulationWindow),
		},
	}
	for i := range 3 {
		n := &simulatedNode{index: i, skew: time.Duration(rnd.Int64N(int64(time.Second))) - 500*time.Millisecond}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	return w
}

// start starts a new process of the node, without any state.
func (w *simulation) start(n *simulatedNode) {
	n.process++
	n.plan = w.plan
	n.splitter = NewTrafficSplitter(TrafficSplitterOptions{Rand: w.rnd.Float64, Started: w.now.Add(n.skew)})
	n.splitter.SetPlans(w.now.Add(n.skew), []Plan{w.plan})
	n.decider = NewDecider(w.plan, DeciderOptions{Self: n.name(), Routes: []string{"a"}})
	n.recorder = NewRecorder(w.table, nil)
	n.counts = Report{Move: w.plan.ID, Instance: fmt.Sprint(n.index), Incarnation: uint64(n.process)}
	n.pendingOutcome, n.inbox, n.arrives = nil, nil, nil
}

func (n *simulatedNode) name() string { return fmt.Sprintf("%d.%d", n.index, n.process) }

// active reports whether a fault of the kind affects the node in the step.
func (w *simulation) active(kind faultKind, step, node int) bool {
	for _, f := range w.faults {
		if f.kind == kind && f.node == node && step >= f.from && step < f.from+f.lasts {
			return true
		}
	}
	return false
}

func (w *simulation) run() {
	for step := 0; w.now.Before(w.end()); step++ {
		w.now = begin.Add(time.Duration(step) * simulationStep)
		closing := w.now.After(w.end().Add(-time.Minute))
		w.table.down = w.active(platformDown, step, 0) && !closing
		w.table.lossRate = 0
		if w.active(loseResponses, step, 0) && !closing {
			w.table.lossRate = 0.6
		}
		if step%7 == 0 {
			w.table.applyDelayed()
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

// end returns the end of the run. No fault is active in the minute before it.
func (w *simulation) end() time.Time {
	if late := w.plan.FinishBy.Add(4 * time.Minute); late.After(begin.Add(simulationEnd)) {
		return late
	}
	return begin.Add(simulationEnd)
}

// events applies the one-time faults that begin in the step.
func (w *simulation) events(step int) {
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
		case newVersionFails:
			w.failsFrom = step
		case withdraw:
			w.plan.Withdraw = true
		case earlierDeadline:
			if rest := w.plan.FinishBy.Sub(w.now); rest > 0 {
				w.plan.FinishBy = w.now.Add(rest / 2)
			}
		case laterDeadline:
			w.plan.FinishBy = w.plan.FinishBy.Add(simulationWindow / 5)
		}
	}
}

// work performs one step of a running node.
func (w *simulation) work(n *simulatedNode, step int, cut bool) {
	now := w.now.Add(n.skew)
	n.plan = w.plan
	n.splitter.SetPlans(now, []Plan{w.plan})
	n.decider.SetPlan(now, w.plan)
	n.decider.SetUpstreams(now, 3, 3)
	if !cut {
		w.pull(n)
		for len(n.inbox) > 0 && !n.arrives[0].After(w.now) {
			n.splitter.MergeState(n.inbox[0])
			n.inbox, n.arrives = n.inbox[1:], n.arrives[1:]
		}
		w.traffic(n, now, step)
	}
	n.decider.MergeState(n.splitter.State(w.plan.ID))
	w.write(n)
	rolledBack := n.splitter.State(w.plan.ID).RolledBack
	decision := n.decider.Decide(now)
	if o := decision.Outcome; o != nil {
		w.history = append(w.history, event{at: w.now, node: n.name(), kind: decided, result: o.Result, rolledBack: rolledBack})
	}
	n.splitter.MergeState(decision.State)
	n.pendingOutcome = decision.Outcome
	if !cut {
		for _, other := range w.nodes {
			if other != n && w.rnd.Float64() > 0.2 {
				other.inbox = append(other.inbox, decision.State)
				other.arrives = append(other.arrives, w.now.Add(time.Duration(w.rnd.Int64N(int64(3*time.Second)))))
			}
		}
	}
}

// write writes the outcome decided in an earlier step, or sometimes reads the row.
func (w *simulation) write(n *simulatedNode) {
	var o Outcome
	var err error
	found := false
	if n.pendingOutcome != nil {
		o, err = n.recorder.Write(context.Background(), *n.pendingOutcome)
		found = err == nil
		if err != nil && !errors.Is(err, ErrPending) {
			w.err = err
		}
	} else if w.rnd.IntN(4) == 0 {
		o, found, err = n.recorder.Read(context.Background(), w.plan.ID)
	}
	if found && err == nil {
		w.history = append(w.history, event{at: w.now, node: n.name(), kind: outcomeReturned, result: o.Result})
		n.splitter.SetOutcome(o)
		n.decider.SetOutcome(o)
	}
}

// pull merges the move state of a random node.
func (w *simulation) pull(n *simulatedNode) {
	other := w.nodes[w.rnd.IntN(len(w.nodes))]
	if other == n || other.splitter.awaitingState(w.now.Add(other.skew), w.plan) {
		return
	}
	n.splitter.MergeState(other.splitter.State(w.plan.ID))
	n.splitter.SetSynced()
}

// traffic adds 50 calls of the node to its report and sends the report to the deciders.
func (w *simulation) traffic(n *simulatedNode, now time.Time, step int) {
	plan, stage, ok := n.splitter.running(now, w.plan.Service)
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
		if n.splitter.Version(now, service, "a") == plan.To {
			counts = &pair.New
			if w.failsFrom >= 0 && step >= w.failsFrom {
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
				w.err = err
			}
		}
	}
}

// observe adds the state of all nodes and of the row to the history.
func (w *simulation) observe() {
	for _, n := range w.nodes {
		state := n.splitter.State(w.plan.ID)
		e := event{at: w.now, node: n.name(), kind: shareObserved, stage: state.Stage, rolledBack: state.RolledBack, finishBy: n.plan.FinishBy}
		e.awaitingState = n.splitter.awaitingState(w.now.Add(n.skew), n.plan)
		e.share = n.splitter.Share(w.now.Add(n.skew), n.plan)
		if o, ok := n.splitter.Outcome(w.plan.ID); ok {
			e.result = o.Result
		}
		w.history = append(w.history, e)
	}
	if value, ok := w.table.rows["move/"+w.plan.ID]; ok {
		o, err := decodeOutcome(w.plan.ID, value)
		if err != nil {
			w.err = err
		}
		w.history = append(w.history, event{at: w.now, kind: rowObserved, result: o.Result})
	}
}
