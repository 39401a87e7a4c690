package node

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/member"
	"corianderwood.example/corianderwood/pkg/upstream"
)

// Run runs the node until ctx ends or a component fails, then stops it gracefully: the
// node announces that it leaves, completes running calls and closes its listeners.
func (n *Node) Run(ctx context.Context) error {
	event.NodeStarting.Log("instance", n.self.Instance, "failureDomain", n.self.FailureDomain, "region", n.self.Region)
	servers, err := n.listen()
	if err != nil {
		return err
	}
	// Running calls are completed during the stop, so the components that serve them
	// need a context that outlives ctx.
	serveCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, groupCtx := errgroup.WithContext(serveCtx)
	for _, component := range n.components() {
		group.Go(func() error { return component(groupCtx) })
	}
	for _, server := range servers {
		group.Go(server.serve)
	}
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	stopErr := n.stop(servers)
	end()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		event.ComponentFailed.LogError(err)
		return err
	}
	event.NodeStopped.Log()
	return stopErr
}

// components returns the functions that the node runs in goroutines of their own; each
// returns when its context ends.
func (n *Node) components() []func(context.Context) error {
	return []func(context.Context) error{
		n.agent.Run,
		n.runKeys, n.runMinRevision, n.runApply, n.runPoll, n.runJoin, n.runMemberRow,
		n.runMembers, n.runReports, n.runUpstream, n.runUpstreamPoller, n.runLimits,
		n.runMoveStates, n.runEvidence, n.runEvidenceReceiver, n.runDecide, n.runOutcomeWriter, n.runOutcomeReader,
	}
}

func (n *Node) runKeys(ctx context.Context) error {
	n.keys.Run(ctx.Done())
	return nil
}

// stop announces that the node leaves, refuses new calls from peers, waits for
// leavePropagation so that the announcement reaches them, completes running calls and
// closes the listeners. All of this takes at most the drain timeout.
func (n *Node) stop(servers []server) error {
	event.NodeStopping.Log("running", n.peers.Running())
	n.ready.set(func(r *readiness) { r.leaving = true })
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.settings.DrainTimeout))
	defer cancel()
	// If the announcement fails, peers detect the stop by refused calls.
	_ = n.agent.Leave(ctx)
	n.peers.SetDraining(true)
	sleep(ctx, leavePropagation)
	var errs []error
	for _, s := range servers {
		errs = append(errs, s.shutdown(ctx))
	}
	return errors.Join(errs...)
}

// runUpstream announces changes of the node's local upstream to the mesh.
func (n *Node) runUpstream(ctx context.Context) error {
	for status := range n.registry.Watch(ctx) {
		switch {
		case status.Service == "":
			event.UpstreamLost.Log()
		case status.Draining:
			event.UpstreamDraining.Log("service", status.Service, "version", status.Version)
		default:
			event.UpstreamAnnounced.Log("service", status.Service, "version", status.Version, "address", status.Address)
		}
		n.agent.SetUpstream(member.Upstream{
			Service: status.Service, Version: status.Version, Draining: status.Draining, Slots: status.Slots,
		})
		n.setLimits()
	}
	return nil
}

// runUpstreamPoller polls the health and load of the local upstream.
func (n *Node) runUpstreamPoller(ctx context.Context) error {
	upstream.NewPoller(n.registry).Run(ctx)
	return nil
}

// runLimits updates the limits whenever a new revision is in force, which may change
// those of the local upstream's service.
func (n *Node) runLimits(ctx context.Context) error {
	for range n.store.Watch(ctx) {
		n.setLimits()
	}
	return nil
}

func (n *Node) setLimits() {
	status, ok := n.registry.Status(time.Now())
	current := n.store.Current()
	if !ok || current == nil {
		return
	}
	service, ok := current.Service(status.Service)
	if !ok {
		return
	}
	limits := service.Limits
	if status.Slots > 0 && status.Slots < limits.Slots {
		limits.Slots = status.Slots
	}
	n.limiter.SetLimits(limits)
	n.peerListener.SetMax(limits.Connections)
}
