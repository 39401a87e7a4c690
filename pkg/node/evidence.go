package node

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/move"
)

// runEvidence sends this node's evidence to the deciders of each move.
func (n *Node) runEvidence(ctx context.Context) error {
	ticker := time.NewTicker(move.EvidenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, part := range n.collector.PendingReports(time.Now()) {
				n.sendPart(ctx, part)
			}
		}
	}
}

func (n *Node) sendPart(ctx context.Context, part move.Report) {
	plan, ok := n.plan(part.Move)
	if !ok {
		return
	}
	payload, err := move.EncodeReport(part)
	if err != nil {
		return
	}
	for _, decider := range n.deciders(plan) {
		if decider == n.self.Instance {
			n.queuePart(part)
			continue
		}
		// A lost part is sent again in full with a later one.
		_ = n.agent.SendEvidence(ctx, decider, payload)
	}
}

// runEvidenceIn decodes the evidence that other nodes send.
func (n *Node) runEvidenceIn(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case payload := <-n.agent.Evidence():
			if part, err := move.DecodeReport(payload); err == nil {
				n.queuePart(part)
			}
		}
	}
}

// queuePart drops the part if the deciders' goroutine is behind; later parts carry
// the same counts.
func (n *Node) queuePart(part move.Report) {
	select {
	case n.parts <- part:
	default:
	}
}

// plan returns the plan in force of a move.
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

// deciders returns the instances that decide the move, among the live members that
// have an upstream of its service.
func (n *Node) deciders(plan move.Plan) []string {
	var instances []string
	for _, m := range n.agent.Members() {
		if usable(m) && m.Upstream.Service == plan.Service {
			instances = append(instances, m.Instance)
		}
	}
	return move.Deciders(plan.ID, instances)
}
