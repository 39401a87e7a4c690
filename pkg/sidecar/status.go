package sidecar

import (
	"cmp"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/status"
)

// status returns the status document of the node. The locks of the components are held one at a
// time, only while their state is copied.
func (n *Node) status() status.Document {
	now := time.Now()
	refusals, _ := n.refusals.Refusals() // the counters of one vector can't contradict each other
	d := status.Document{Node: n.nodeStatus(now), Refusals: refusals, Evacuations: n.evacuationStatus(now), Memory: n.memory.status()}
	d.Accounts, d.AccountsOmitted = n.accountStatus(now)
	servers, cold := n.serverStatus(now)
	d.Servers, d.ServersOmitted = bounded(servers, status.MaxServers)
	d.ColdServers, d.ColdServersOmitted = bounded(cold, status.MaxServers)
	return d
}

// bounded returns at most limit elements of a list, and the number of the others.
func bounded[T any](all []T, limit int) (kept []T, omitted int) {
	kept = all[:min(limit, len(all))]
	return kept, len(all) - len(kept)
}

func (n *Node) nodeStatus(now time.Time) status.Node {
	s := status.Node{
		Node: n.settings.Node, Service: n.settings.Service, FailureDomain: n.settings.FailureDomain, Process: n.process,
		Ready: n.ready(), Configuration: n.configurationVersion(),
		StoreEra: platform.EraOf(max(n.cache.Version(meshTable), n.cache.Version(n.deploy.RowCodec.Table()))),
		Draining: n.closing.Load(),
	}
	switch {
	case s.Ready:
	case n.closing.Load():
		s.Reason = "the node is stopping"
	default:
		s.Reason = "no configuration is in force yet"
	}
	if fresh := n.freshness.remaining(); fresh >= 0 {
		s.FreshSeconds = &fresh
	}
	if server, ok := n.tracker.Current(now); ok && server.State != instance.Ready {
		s.Draining = true
	}
	return s
}

func (n *Node) evacuationStatus(now time.Time) []status.Evacuation {
	server, _ := n.tracker.Current(now)
	out := []status.Evacuation{}
	for domain, since := range n.knownEvacuations() {
		out = append(out, status.Evacuation{
			FailureDomain: domain, KnownSeconds: now.Sub(since).Seconds(),
			OwnServer: domain == n.settings.FailureDomain || domain == server.FailureDomain,
		})
	}
	slices.SortFunc(out, func(a, b status.Evacuation) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return out
}

// serverStatus returns the servers that the selector knows and those of them that are cold.
func (n *Node) serverStatus(now time.Time) ([]status.Server, []status.ColdServer) {
	servers, cold := []status.Server{}, []status.ColdServer{}
	for _, k := range n.selector.Status() {
		s := status.Server{
			Service: k.Server.Service, Instance: k.Server.Incarnation, Node: k.Node, FailureDomain: k.Server.FailureDomain,
			Slots: k.Server.Slots, Running: k.Load.Running, Waiting: k.Load.Waiting, AgeSeconds: now.Sub(k.ReportedAt).Seconds(),
		}
		if k.Load.Slots > 0 {
			s.LearnedLimit = &k.Load.Slots
		}
		c := status.ColdServer{
			Service: s.Service, Instance: s.Instance, Node: s.Node, LimitPerSecond: k.Server.RequestLimit,
			Source: status.SourceAssumed, AgeSeconds: now.Sub(k.AnnouncedAt).Seconds(),
		}
		isCold := k.Server.Limited && k.Server.ColdLimit
		if left := k.Server.WarmUntil.Sub(now); left > 0 {
			c.RemainingSeconds, c.Source = seconds(left), status.SourceReported
		}
		if k.Node == n.settings.Node {
			n.ownLoad(now, &s)
			isCold = n.ownColdness(now, &c)
		}
		servers = append(servers, s)
		if isCold {
			cold = append(cold, c)
		}
	}
	slices.SortFunc(servers, func(a, b status.Server) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Node, b.Node))
	})
	slices.SortFunc(cold, func(a, b status.ColdServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Node, b.Node))
	})
	return servers, cold
}

// ownLoad sets the present load of the local server.
func (n *Node) ownLoad(now time.Time, s *status.Server) {
	load, limit := n.admission.Load(""), n.admission.LearnedLimit(now).Limit
	s.LearnedLimit, s.Running, s.Waiting, s.AgeSeconds = &limit, load.Running, load.Waiting, 0
}

// ownColdness sets what the admission control knows of the local server, and reports whether it
// limits the server as a cold one.
func (n *Node) ownColdness(now time.Time, c *status.ColdServer) bool {
	k := n.admission.ColdStatus(now)
	c.LimitPerSecond, c.Started, c.AgeSeconds = k.Rate, &k.Started, now.Sub(k.LearnedAt).Seconds()
	c.RemainingSeconds, c.Source = nil, status.SourceReported
	if k.Remaining > 0 {
		c.RemainingSeconds = seconds(k.Remaining)
	}
	if k.Suspected {
		c.Source = status.SourceAssumed
	}
	return k.Cold && k.Rate > 0
}

func seconds(d time.Duration) *float64 {
	s := d.Seconds()
	return &s
}
