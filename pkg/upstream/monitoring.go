package upstream

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of the announced upstream.
type Metrics struct {
	announced   prometheus.Counter
	expired     prometheus.Counter
	drained     prometheus.Counter
	rejected    prometheus.Counter
	pollsFailed *prometheus.CounterVec // by kind of poll
}

// NewMetrics registers the metrics with reg; nil leaves them unregistered.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "corianderwood_upstream_" + name, Help: help})
	}
	m := &Metrics{
		announced: counter("announced_total", "New announcements of an upstream, without renewals."),
		expired:   counter("expired_total", "Announcements that were not renewed in time."),
		drained:   counter("drained_total", "Drains requested by an upstream."),
		rejected:  counter("rejected_total", "Requests rejected as invalid, because another upstream is announced or because the upstream is draining."),
		pollsFailed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_upstream_polls_failed_total", Help: "Failed polls of the upstream."}, []string{"kind"}),
	}
	if reg != nil {
		reg.MustRegister(m.announced, m.expired, m.drained, m.rejected, m.pollsFailed)
	}
	return m
}
