package sidecar

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/admission"
	"corianderwood.example/corianderwood/pkg/event"
)

// limitReport decides when the learned limit of the local server is worth a log line. It is safe
// for concurrent use; mu guards the fields.
type limitReport struct {
	mu         sync.Mutex
	below      bool // the last line said that the limit is below half of the slots
	reportedAt time.Time
}

// change reports whether the limit has fallen below half of the slots, or is back, since the last
// line. A change within limitReportInterval of that line is reported after it, if it lasts.
func (r *limitReport) change(now time.Time, l admission.LearnedLimit) (below, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	below = 2*l.Limit < l.Slots
	if below == r.below || now.Sub(r.reportedAt) < limitReportInterval {
		return r.below, false
	}
	r.below, r.reportedAt = below, now
	return below, true
}

// reportLimit logs a change of the local server's learned limit.
func (n *Node) reportLimit(now time.Time, server string) {
	l := n.admission.LearnedLimit(now)
	below, changed := n.limitReport.change(now, l)
	switch {
	case !changed:
	case below:
		event.UpstreamLimitLearned.Log("server", server, "limit", l.Limit, "slots", l.Slots, "slowness", l.Slowness)
	default:
		event.UpstreamLimitEnded.Log("server", server, "limit", l.Limit, "slots", l.Slots)
	}
}

// registerLearnedLimit registers what the node has learned of the local server.
func (n *Node) registerLearnedLimit(reg prometheus.Registerer) {
	gauge := func(name, help string, value func(admission.LearnedLimit) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return value(n.admission.LearnedLimit(time.Now())) }))
	}
	gauge("corianderwood_server_learned_limit", "Requests that the local server runs at once, as learned from its service times; at most its slots.",
		func(l admission.LearnedLimit) float64 { return float64(l.Limit) })
	gauge("corianderwood_server_slowness", "How long work takes on the local server's machine now, relative to the usual; 1 if the server names no figure that its times agree with.",
		func(l admission.LearnedLimit) float64 { return l.Slowness })
}
