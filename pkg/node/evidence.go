package node

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/move"
)

// runEvidence periodically sends this node's evidence to the deciders of each move.
func (n *Node) runEvidence(ctx context.Context) error {
	ticker := time.NewTicker(move.EvidenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, report := range n.collector.PendingReports(time.Now()) {
				n.sendReport(ctx, report)
			}
		}
	}
}

func (n *Node) sendReport(ctx context.Context, report move.Report) {
	plan, ok := n.plan(report.Move)
	if !ok {
		return
	}
	payload, err := move.EncodeReport(report)
	if err != nil {
		return
	}
	for _, decider := range n.deciders(plan) {
		if decider == n.self.Instance {
			n.queueReport(report)
			continue
		}
		// If a report is lost, a later report contains its counts.
		_ = n.agent.SendEvidence(ctx, decider, payload)
	}
}

// runEvidenceReceiver decodes and queues the evidence reports received from other nodes.
// It drops invalid reports.
func (n *Node) runEvidenceReceiver(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case payload := <-n.agent.Evidence():
			if report, err := move.DecodeReport(payload); err == nil {
				n.queueReport(report)
			}
		}
	}
}

// queueReport passes a report to runDecide. It drops the report if the queue is full;
// later reports contain the same counts.
func (n *Node) queueReport(report move.Report) {
	select {
	case n.reports <- report:
	default:
	}
}

// plan returns the plan of a move in the revision in force.
func (n *Node) plan(id string) (move.Plan, bool) {
	current := n.store.Current()
	if current == nil {
		return move.Plan{}, false
	}
	for _, plan := range plansOf(current) {
		if plan.ID == id {
			return plan, true
		}
	}
	return move.Plan{}, false
}

// deciders returns the instances that decide the move. They are chosen from the live
// members that have an upstream of the move's service that is not draining.
func (n *Node) deciders(plan move.Plan) []string {
	var instances []string
	for _, m := range n.agent.Members() {
		if usable(m) && m.Upstream.Service == plan.Service {
			instances = append(instances, m.Instance)
		}
	}
	return move.Deciders(plan.ID, instances)
}
