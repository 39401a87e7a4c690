package sidecar

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/admission"
	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/placement"
	"corianderwood.example/corianderwood/pkg/reason"
)

// announceServer tells peers and the own board the state of the server.
func (n *Node) announceServer() {
	state := n.serverState(time.Now())
	n.announced.Store(&state)
	n.placeServer(n.settings.Node, n.gate, state)
	n.peers.broadcast(link.KindServerState, state)
}

// serverState returns what peers are told of the server beside the node.
func (n *Node) serverState(now time.Time) link.ServerState {
	s, ok := n.tracker.Current(now)
	if !ok {
		return link.ServerState{}
	}
	return link.ServerState{
		Known: true, Service: s.Service, Version: s.Version, Incarnation: s.Incarnation(),
		FailureDomain: s.FailureDomain, Slots: s.Slots, WarmUpMs: s.WarmUp.Milliseconds(), LinkBytesPerSecond: n.settings.LinkBytesPerSecond,
		FailureRate: n.gate.Load().FailureRate,
		Draining:    s.State != instance.Ready, Stopping: n.closing.Load(),
	}
}

// placeServer makes a node's server available for requests, or takes it out.
func (n *Node) placeServer(name string, g placement.Executor, s link.ServerState) {
	if !s.Known || s.Draining || s.Stopping {
		n.board.Remove(name, nil)
		return
	}
	now := time.Now()
	n.rollouts.RecordVersion(now, s.Service, s.Version)
	n.board.Set(now, name, g, placement.Server{
		Service: s.Service, Version: s.Version, Incarnation: s.Incarnation, FailureDomain: s.FailureDomain,
		FailureRate: s.FailureRate,
		Slots:       s.Slots, LinkBytesPerSecond: s.LinkBytesPerSecond, WarmUntil: now.Add(time.Duration(s.WarmUpMs) * time.Millisecond),
	})
}

// watchServer notices a server whose heartbeats have stopped.
func (n *Node) watchServer(ctx context.Context) {
	every(ctx, time.NewTicker(serverCheckInterval), func() {
		told := n.announced.Load()
		if told == nil || !told.Known {
			return
		}
		if _, ok := n.tracker.Current(time.Now()); !ok {
			event.UpstreamLost.Log("server", told.Incarnation)
			n.gate.ServerChanged(time.Now())
			n.announceServer()
			return
		}
		n.announceFailing()
	})
}

// announceFailing tells peers when the server beside the node begins to fail many
// requests, and when it may be tried again. Each peer by itself would find out from
// requests of its own.
func (n *Node) announceFailing() {
	rate := n.gate.Load().FailureRate
	was := n.failing.Load()
	if is := rate > failingRate || was && rate > recoveredRate; is != was {
		n.failing.Store(is)
		event.UpstreamFailing.Log("failing", is, "rate", rate)
		n.announceServer()
	}
}

// observer learns the outcomes at the server beside the node.
type observer Node

// Served implements admission.Observer.
func (o *observer) Served(now time.Time, req *call.Request, version string, res call.Response, took time.Duration) {
	n := (*Node)(o)
	n.announceFailing()
	if res.Refusal == reason.UpstreamConnect {
		event.UpstreamUnreachable.Log("request", req.ID)
		n.tracker.MarkDown()
		go n.announceLost()
		return
	}
	if order, ok := n.rollouts.Active(req.Service); ok && res.Ran != reason.RanNo {
		n.recorder.Add(order, version, req.Instance, req.Route, admission.Failed(res), took)
	}
}

func (n *Node) announceLost() {
	n.gate.ServerChanged(time.Now())
	n.announceServer()
}
