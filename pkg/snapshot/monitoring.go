package snapshot

import "github.com/prometheus/client_golang/prometheus"

var (
	revisionInForce = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corianderwood_snapshot_revision",
		Help: "Configuration revision in force at this node.",
	})
	appliedSnapshots = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corianderwood_snapshot_applied_total",
		Help: "Snapshots applied.",
	})
	refusedSnapshots = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corianderwood_snapshot_refused_total",
		Help: "Snapshots refused because their revision was not above the one in force or was below the minimum revision.",
	})
)

// Collectors returns the metrics of the package, which all stores of the process share.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{revisionInForce, appliedSnapshots, refusedSnapshots}
}
