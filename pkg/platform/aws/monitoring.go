package aws

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

var (
	requestSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "corianderwood_platform_request_seconds",
		Help:    "Duration of requests to the platform, by operation.",
		Buckets: []float64{0.005, 0.02, 0.1, 0.5, 2, 10},
	}, []string{"operation"})
	failuresTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_platform_failures_total",
		Help: "Failed requests to the platform, by operation and kind.",
	}, []string{"operation", "kind"})
)

// Collectors returns the metrics of the package.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{requestSeconds, failuresTotal}
}

func observe(operation string, start time.Time) {
	requestSeconds.WithLabelValues(operation).Observe(time.Since(start).Seconds())
}
