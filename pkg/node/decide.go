package node

import (
	"context"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/move"
)

// decisions holds the deciders of the moves for which this node is a decider, by move
// id. It is not safe for concurrent use; the goroutine of runDecide owns it.
type decisions struct {
	node *Node
	byID map[string]*move.Decider
}

// runDecide merges received evidence and decides the moves for which this node is a
// decider. It runs until ctx ends.
func (n *Node) runDecide(ctx context.Context) error {
	d := &decisions{node: n, byID: map[string]*move.Decider{}}
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case report := <-n.reports:
			if decider, ok := d.byID[report.Move]; ok {
				// The decider counts reports that it cannot use.
				_ = decider.Merge(report)
			}
		case <-ticker.C:
			d.tick(time.Now())
		}
	}
}

func (d *decisions) tick(now time.Time) {
	current := d.node.store.Current()
	if current == nil {
		return
	}
	running := map[string]bool{}
	for _, plan := range plansOf(current) {
		running[plan.ID] = true
		// A decider is kept while the move runs, also after a change of the membership:
		// otherwise its evidence and its share of the false-alarm rate would be lost.
		if d.byID[plan.ID] == nil && !slices.Contains(d.node.deciders(plan), d.node.self.Instance) {
			continue
		}
		d.decide(now, plan)
	}
	for id := range d.byID {
		if !running[id] {
			delete(d.byID, id)
		}
	}
}

func (d *decisions) decide(now time.Time, plan move.Plan) {
	n := d.node
	decider, ok := d.byID[plan.ID]
	if !ok {
		decider = move.NewDecider(plan, move.DeciderOptions{
			Self: n.self.Instance, FalseAlarmRate: n.settings.Moves.FalseAlarmRate,
			Routes: n.routesOf(plan.Service), Metrics: n.moveMetrics,
		})
		d.byID[plan.ID] = decider
	}
	decider.SetPlan(now, plan)
	decider.MergeState(n.splitter.State(plan.ID))
	from, to := n.countUpstreams(plan)
	decider.SetUpstreams(now, from, to)
	if outcome, ok := n.splitter.Outcome(plan.ID); ok {
		decider.SetOutcome(outcome)
	}
	decision := decider.Decide(now)
	n.publishState(decision.State)
	if decision.Outcome != nil {
		n.queueOutcome(*decision.Outcome)
	}
}

func (n *Node) routesOf(service string) []string {
	var routes []string
	for _, section := range n.store.Current().Document().Sections {
		for _, route := range section.Routes {
			if route.Service == service {
				routes = append(routes, route.Name)
			}
		}
	}
	slices.Sort(routes)
	return routes
}

func (n *Node) countUpstreams(plan move.Plan) (from, to int) {
	for _, m := range n.agent.Members() {
		if !usable(m) || m.Upstream.Service != plan.Service {
			continue
		}
		switch m.Upstream.Version {
		case plan.From:
			from++
		case plan.To:
			to++
		}
	}
	return from, to
}
