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

// announceServer sends the state of the local server to peers and updates this node's
// selector.
func (n *Node) announceServer() {
	state := n.serverState(time.Now())
	n.announced.Store(&state)
	n.updateSelector(n.settings.Node, n.admission, state)
	n.peers.broadcast(link.KindServerState, state)
}

// serverState returns the state of the local server as sent to peers.
func (n *Node) serverState(now time.Time) link.ServerState {
	s, ok := n.tracker.Current(now)
	departures := n.tracker.Departures()
	if !ok {
		return link.ServerState{Departures: departures}
	}
	notice := n.notice.get(s.Incarnation())
	coldLimit := false
	if rate, cold := n.cold.limit(s.Incarnation()); cold && (!notice.Limited || rate < notice.RequestLimit) {
		notice.Limited, notice.RequestLimit, coldLimit = true, rate, true
	}
	return link.ServerState{
		Known: true, Service: s.Service, Version: s.Version, Incarnation: s.Incarnation(),
		FailureDomain: s.FailureDomain, Slots: s.Slots, WarmUpMs: s.WarmUp.Milliseconds(), LinkBytesPerSecond: n.settings.LinkBytesPerSecond,
		FailureRate: n.admission.Load("").FailureRate,
		Limited:     notice.Limited, RequestLimit: notice.RequestLimit, ColdLimit: coldLimit,
		Draining: s.State != instance.Ready, Stopping: n.closing.Load(),
		Departures: departures,
	}
}

// updateSelector adds a node's server to the selector, or removes it if it must not
// receive new requests.
func (n *Node) updateSelector(name string, executor placement.Executor, s link.ServerState) {
	if exclusionOf(s) != "" {
		n.selector.Remove(name, nil)
		return
	}
	now := time.Now()
	n.rollouts.RecordVersion(now, s.Service, s.Version)
	n.selector.Set(now, name, executor, placement.Server{
		Service: s.Service, Version: s.Version, Incarnation: s.Incarnation, FailureDomain: s.FailureDomain,
		FailureRate: s.FailureRate, Limited: s.Limited, RequestLimit: s.RequestLimit, ColdLimit: s.ColdLimit,
		Slots: s.Slots, LinkBytesPerSecond: s.LinkBytesPerSecond, WarmUntil: now.Add(time.Duration(s.WarmUpMs) * time.Millisecond),
	})
}

// watchServer detects that the local server's heartbeats have stopped, that its failure rate has
// dropped or that its cold time has ended, until ctx ends.
func (n *Node) watchServer(ctx context.Context) {
	every(ctx, time.NewTicker(serverCheckInterval), func() {
		announced := n.announced.Load()
		if announced == nil || !announced.Known {
			return
		}
		if _, ok := n.tracker.Current(time.Now()); !ok {
			event.UpstreamLost.Log("server", announced.Incarnation)
			n.admission.ServerChanged(time.Now())
			n.announceServer()
			return
		}
		n.announceFailing()
		n.announceColdness()
		n.reportLimit(time.Now(), announced.Incarnation)
	})
}

// announceFailing informs peers when the local server's failure rate rises above
// failingRate, and when it has dropped to recoveredRate. Otherwise each peer would
// detect it only from failures of its own requests.
func (n *Node) announceFailing() {
	rate := n.admission.Load("").FailureRate
	was := n.failing.Load()
	if is := rate > failingRate || was && rate > recoveredRate; is != was {
		n.failing.Store(is)
		event.UpstreamFailing.Log("failing", is, "rate", rate)
		n.announceServer()
	}
}

// observer receives the results of requests at the local server.
type observer Node

// Served implements admission.Observer. It announces a failing or unreachable server and
// records the result as rollout evidence.
func (o *observer) Served(now time.Time, req *call.Request, version string, res call.Response, took time.Duration) {
	n := (*Node)(o)
	n.announceFailing()
	if res.Refusal == reason.UpstreamConnect {
		event.UpstreamUnreachable.Log("request", req.ID)
		n.suspectRestart(now)
		n.tracker.MarkDown()
		go n.announceChange()
		return
	}
	if order, ok := n.rollouts.Active(req.Service); ok && res.Ran != reason.RanNo {
		n.recorder.Add(order, version, req.Instance, req.Route, admission.Failed(res), took)
	}
}

func (n *Node) announceChange() {
	n.admission.ServerChanged(time.Now())
	n.announceServer()
}
