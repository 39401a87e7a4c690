package sidecar

import (
	"context"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/admission"
	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/routing"
)

// reportedColdness is whether the local server was last reported as cold, in the log and to
// peers. It is safe for concurrent use; mu guards the fields except log.
type reportedColdness struct {
	log *event.LimitedLog // about possible restarts

	mu          sync.Mutex
	incarnation string
	cold        bool
	rate        float64
}

// limit returns the requests per second that the incarnation takes while it is cold, and whether it
// is reported as cold.
func (r *reportedColdness) limit(incarnation string) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate, r.cold && r.incarnation == incarnation
}

// replace stores what is reported of the incarnation. It returns whether that incarnation was
// reported as cold before, and whether peers must be told.
func (r *reportedColdness) replace(incarnation string, cold bool, rate float64) (was, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was = r.cold && r.incarnation == incarnation
	changed = was != cold || cold && r.rate != rate
	r.incarnation, r.cold, r.rate = incarnation, cold, rate
	return was, changed
}

// coldService returns the local server's service, and whether its cold servers have a rate.
func (n *Node) coldService() (routing.Service, bool) {
	table := n.routingTable.Load()
	if table == nil {
		return routing.Service{}, false
	}
	service, ok := table.Service(n.settings.Service)
	return service, ok && service.ColdPerSecond > 0
}

// applyColdRate sets the rate of cold servers in a configuration that is about to be in force.
func (n *Node) applyColdRate(table *routing.Table) {
	service, _ := table.Service(n.settings.Service)
	n.admission.SetColdRate(time.Now(), admission.ColdRate{
		PerSecond: service.ColdPerSecond, Overage: n.settings.Bounds.ColdOverage, Slack: n.settings.Bounds.ColdSlack,
	})
}

// noteCold notes whether the local server is cold, writes a change to the log, and reports whether
// peers must be told.
func (n *Node) noteCold(now time.Time) bool {
	server, ok := n.tracker.Current(now)
	if !ok {
		return false
	}
	service, limited := n.coldService()
	cold, suspected := n.admission.Cold(now)
	cold = cold && limited
	was, changed := n.cold.replace(server.Incarnation(), cold, service.ColdPerSecond)
	switch {
	case cold && !was:
		n.metrics.serverCold.Set(1)
		event.UpstreamCold.Log("server", server.Incarnation(), "rate", service.ColdPerSecond, "suspected", suspected)
	case !cold && was:
		event.UpstreamWarm.Log("server", server.Incarnation())
	}
	if !cold {
		n.metrics.serverCold.Set(0)
	}
	return changed
}

// announceColdness tells peers if the local server has become cold or warm.
func (n *Node) announceColdness() {
	if n.noteCold(time.Now()) {
		n.announceServer()
	}
}

// suspectRestart limits the local server as a cold one until it is known whether it has restarted.
// It returns false if cold servers of its service have no limit or the server is leaving, which
// ends its connections.
func (n *Node) suspectRestart(now time.Time) bool {
	server, known := n.tracker.Current(now)
	if _, limited := n.coldService(); !limited || known && server.State != instance.Ready {
		return false
	}
	n.admission.SuspectRestart(now)
	n.metrics.restartsSuspected.Inc()
	n.cold.log.Write(event.UpstreamMayHaveRestarted, "service", n.settings.Service)
	return true
}

// serverBroke is called when the local server has broken its last connection.
func (n *Node) serverBroke() {
	if now := time.Now(); n.suspectRestart(now) {
		n.askHealth(now)
	}
}

// askHealth asks the local server's health check how long it stays cold, if that is not known and
// was not asked already.
func (n *Node) askHealth(now time.Time) {
	service, limited := n.coldService()
	if !limited || service.HealthPath == "" || !n.admission.AskHealth(now) {
		return
	}
	n.metrics.healthRequests.Inc()
	go func() {
		defer contain.Recover(contain.ServerRequest, func(error) {})
		sent := time.Now()
		remaining, err := n.client.ColdTime(context.Background(), service.HealthPath)
		if err != nil {
			n.metrics.healthFailures.Inc()
		} else {
			n.admission.HealthAnswered(time.Now(), sent, remaining)
		}
		n.announceColdness()
	}()
}
