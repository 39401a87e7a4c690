package node

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/gossip"
	"corianderwood.example/corianderwood/pkg/move"
	"corianderwood.example/corianderwood/pkg/snapshot"
)

// minRevisionReplicasWanted is the number of peers that should store the minimum revision
// that this instance may serve.
const minRevisionReplicasWanted = 2

// runApply applies complete revisions once the minimum revision is known. It runs until
// ctx ends.
func (n *Node) runApply(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.minRevisionKnown:
	}
	var docs documents
	for {
		select {
		case <-ctx.Done():
			return nil
		case revision := <-n.agent.Revisions():
			n.held.Store(&revision)
			n.apply(ctx, &docs, revision)
		}
	}
}

// apply checks a revision, replicates it as the minimum revision to peers and puts it in
// force. A revision that fails a check is rejected as a whole.
func (n *Node) apply(ctx context.Context, docs *documents, revision gossip.Revision) {
	doc, err := docs.build(revision)
	var next *snapshot.Snapshot
	if err == nil {
		next, err = snapshot.New(doc)
	}
	if err != nil {
		n.metrics.revisions.WithLabelValues("rejected").Inc()
		event.RevisionRejected.LogError(err, "revision", revision.Head.Revision)
		return
	}
	if replicas := n.agent.ReplicateMinRevision(ctx, next.Revision()); replicas < minRevisionReplicasWanted {
		n.metrics.revisions.WithLabelValues("floor-not-kept").Inc()
		event.MinRevisionNotReplicated.Log("revision", next.Revision(), "keepers", replicas)
	}
	if err := n.store.Apply(next); err != nil {
		// The revision is below the minimum revision or the revision in force.
		n.metrics.revisions.WithLabelValues("stale").Inc()
		return
	}
	n.metrics.revisions.WithLabelValues("in-force").Inc()
	n.metrics.inForce.Set(float64(next.Revision()))
	n.splitter.SetPlans(time.Now(), plansOf(next))
	n.agent.SetInForce(next.Revision())
	n.ready.set(func(r *readiness) { r.applied = true })
	event.RevisionInForce.Log("revision", next.Revision(), "sections", len(doc.Sections))
	n.refreshEndpoints()
}

func plansOf(s *snapshot.Snapshot) []move.Plan {
	var plans []move.Plan
	for _, active := range s.Moves() {
		service, ok := s.Service(active.Service)
		if !ok {
			continue
		}
		if plan, ok := move.PlanOf(service); ok {
			plans = append(plans, plan)
		}
	}
	return plans
}
