package node

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"corianderwood.example/corianderwood/pkg/accept"
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/gossip"
	"corianderwood.example/corianderwood/pkg/operator"
	"corianderwood.example/corianderwood/pkg/platform"
)

// backend implements operator.Backend. It is safe for concurrent use.
type backend struct {
	node *Node
}

// Status returns the state of the node.
func (b backend) Status() operator.Status {
	status := operator.Status{Instance: b.node.self.Instance, Reason: b.node.ready.Reason()}
	status.Ready = status.Reason == ""
	if current := b.node.store.Current(); current != nil {
		status.Revision = current.Revision()
	}
	return status
}

// Sections returns the sections of the newest complete revision, sorted by name.
func (b backend) Sections() []operator.SectionSummary {
	held := b.node.held.Load()
	if held == nil {
		return nil
	}
	var sections []operator.SectionSummary
	for name, ref := range held.Head.Sections {
		sections = append(sections, operator.SectionSummary{Name: name, Team: ref.Team, SectionRevision: ref.Revision, Hash: ref.Hash})
	}
	slices.SortFunc(sections, func(x, y operator.SectionSummary) int { return strings.Compare(x.Name, y.Name) })
	return sections
}

// Section returns the newest accepted section from the platform or, while the platform
// is unavailable, from the newest complete revision.
func (b backend) Section(ctx context.Context, name string) (operator.SectionResponse, error) {
	head, _, err := b.node.acceptor.ReadHead(ctx)
	b.node.platform.observe(err)
	held := b.node.held.Load()
	if held == nil {
		held = &gossip.Revision{}
	}
	if err != nil {
		head = held.Head
	}
	ref, ok := head.Sections[name]
	if !ok {
		return operator.SectionResponse{}, &operator.Problem{Kind: operator.KindNotFound, Section: name,
			Message: "the section does not exist", Remedy: "list the sections with corianderctl section list"}
	}
	body, ok := held.Bodies[ref.Hash]
	if !ok {
		if body, err = b.node.acceptor.ReadBody(ctx, ref.Hash); err != nil {
			return operator.SectionResponse{}, problemOf(err)
		}
	}
	section, err := config.ParseBody(ref.Hash, body)
	if err != nil {
		return operator.SectionResponse{}, problemOf(err)
	}
	return operator.SectionResponse{Section: section, SectionRevision: ref.Revision, Revision: head.Revision}, nil
}

// Edit accepts or rejects an edit as a whole.
func (b backend) Edit(ctx context.Context, team string, edit operator.Edit) (operator.EditResponse, error) {
	result, err := b.node.acceptor.Edit(ctx, accept.EditRequest{
		OperationID: edit.OperationID, Team: team, Section: edit.Section, BaseRevision: edit.BaseRevision,
	})
	b.node.platform.observe(err)
	switch {
	case err == nil:
		event.EditAccepted.Log("operation", result.OperationID, "section", edit.Section.Name, "revision", result.Revision, "heldBy", len(result.AckedBy))
	case errors.Is(err, platform.ErrUnknownOutcome):
		event.EditUnknown.LogError(err, "operation", edit.OperationID, "section", edit.Section.Name)
	default:
		event.EditRefused.LogError(err, "operation", edit.OperationID, "section", edit.Section.Name)
	}
	return responseOf(result), problemOf(err)
}

// Operation returns the result of an earlier edit.
func (b backend) Operation(ctx context.Context, id string) (operator.EditResponse, error) {
	result, found, err := b.node.acceptor.Operation(ctx, id)
	b.node.platform.observe(err)
	if err == nil && !found {
		return operator.EditResponse{}, &operator.Problem{Kind: operator.KindNotFound,
			Message: "no edit with operation id " + id + " has been accepted",
			Remedy:  "apply the edit again with --operation " + id}
	}
	return responseOf(result), problemOf(err)
}

func responseOf(r accept.Result) operator.EditResponse {
	return operator.EditResponse{
		OperationID: r.OperationID, Revision: r.Revision, SectionRevision: r.SectionRevision, Hash: r.Hash, AckedBy: r.AckedBy,
	}
}

// Nodes returns the members that the node knows, sorted by instance.
func (b backend) Nodes() []operator.NodeSummary {
	var nodes []operator.NodeSummary
	for _, m := range b.node.agent.Members() {
		nodes = append(nodes, operator.NodeSummary{
			Instance: m.Instance, FailureDomain: m.FailureDomain, Region: m.Region, State: m.State.String(),
			Service: m.Upstream.Service, Version: m.Upstream.Version, Draining: m.Upstream.Draining, InForce: m.InForce,
		})
	}
	slices.SortFunc(nodes, func(x, y operator.NodeSummary) int { return strings.Compare(x.Instance, y.Instance) })
	return nodes
}

// Counters returns the counters of first attempts, refused requests and retries, which it
// selects by parts of their names.
func (b backend) Counters() ([]operator.Counter, error) {
	families, err := b.node.gatherer.Gather()
	if err != nil {
		return nil, err
	}
	var counters []operator.Counter
	for _, family := range families {
		name := family.GetName()
		if !strings.Contains(name, "refus") && !strings.Contains(name, "retr") && !strings.Contains(name, "first_attempts") {
			continue
		}
		for _, metric := range family.GetMetric() {
			if metric.GetCounter() == nil {
				continue
			}
			labels := map[string]string{}
			for _, pair := range metric.GetLabel() {
				labels[pair.GetName()] = pair.GetValue()
			}
			counters = append(counters, operator.Counter{Name: name, Labels: labels, Value: metric.GetCounter().GetValue()})
		}
	}
	return counters, nil
}

// moveState returns the state of a move as reported to operators, and its reason.
func (b backend) moveState(id string) (state, reason string) {
	if outcome, ok := b.node.splitter.Outcome(id); ok {
		return stateOf(outcome), outcome.Reason
	}
	current := b.node.splitter.State(id)
	if current.RolledBack || current.Done {
		return operator.MovePendingRecord, current.Reason
	}
	return operator.MoveRunning, ""
}

// Moves returns the moves of the revision in force.
func (b backend) Moves() []operator.MoveSummary {
	current := b.node.store.Current()
	if current == nil {
		return nil
	}
	now := time.Now()
	var moves []operator.MoveSummary
	for _, active := range current.Moves() {
		plan, ok := b.node.plan(active.Move.ID)
		if !ok {
			continue
		}
		state, reason := b.moveState(plan.ID)
		moves = append(moves, operator.MoveSummary{
			ID: plan.ID, Section: active.Section, Service: plan.Service, From: plan.From, To: plan.To,
			FinishBy: plan.FinishBy, Share: b.node.splitter.Share(now, plan), State: state, Reason: reason,
		})
	}
	return moves
}
