package limit

import (
	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/reason"
)

var (
	runningCalls = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corianderwood_limit_running",
		Help: "Calls that hold a slot.",
	})
	queuedCalls = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corianderwood_limit_queued",
		Help: "Calls that wait for a slot.",
	})
	refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_limit_refusals_total",
		Help: "Calls refused before they got a slot, by reason.",
	}, []string{"reason"})
	openConnections = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corianderwood_limit_connections",
		Help: "Open connections of listeners with a connection limit.",
	})
	evictedConnections = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corianderwood_limit_connections_evicted_total",
		Help: "Idle connections closed to make room for new ones.",
	})
	refusedConnections = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corianderwood_limit_connections_refused_total",
		Help: "Connections closed on arrival because all open connections were busy.",
	})
)

// Collectors returns the metrics of the package for registration.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		runningCalls, queuedCalls, refusals,
		openConnections, evictedConnections, refusedConnections,
	}
}

func countRefusal(why reason.Refusal) reason.Refusal {
	refusals.WithLabelValues(string(why)).Inc()
	return why
}
