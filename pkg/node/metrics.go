package node

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of this package; other packages register their own.
type metrics struct {
	revisions  *prometheus.CounterVec
	inForce    prometheus.Gauge
	platformUp prometheus.Gauge
	joins      *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		revisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_revisions_total", Help: "Complete revisions by result: in-force, rejected or stale; floor-not-kept is counted in addition.",
		}, []string{"result"}),
		inForce: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "corianderwood_revision_in_force", Help: "Configuration revision in force.",
		}),
		platformUp: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "corianderwood_platform_up", Help: "1 if the platform responded to the last request, otherwise 0.",
		}),
		joins: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_joins_total", Help: "Attempts to join the mesh, by result.",
		}, []string{"result"}),
	}
	reg.MustRegister(m.revisions, m.inForce, m.platformUp, m.joins)
	return m
}
