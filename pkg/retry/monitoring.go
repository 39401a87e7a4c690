package retry

import (
	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/reason"
)

var (
	tokensLeft = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "corianderwood_retry_tokens",
		Help: "Remaining retry tokens by dependency.",
	}, []string{"dependency"})
	firstAttempts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_first_attempts_total",
		Help: "First attempts of calls by dependency.",
	}, []string{"dependency"})
	retries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_retries_total",
		Help: "Retries by dependency and reason.",
	}, []string{"dependency", "reason"})
	retriesRefused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_retries_refused_total",
		Help: "Refused retries by dependency, reason and response class.",
	}, []string{"dependency", "reason", "class"})
)

// Collectors returns the metrics of the package for registration.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{tokensLeft, firstAttempts, retries, retriesRefused}
}

// dependencyMetrics holds the metrics of one dependency.
type dependencyMetrics struct {
	dependency    string
	tokens        prometheus.Gauge
	firstAttempts prometheus.Counter
}

func newDependencyMetrics(dependency string) *dependencyMetrics {
	return &dependencyMetrics{
		dependency:    dependency,
		tokens:        tokensLeft.WithLabelValues(dependency),
		firstAttempts: firstAttempts.WithLabelValues(dependency),
	}
}

func (m *dependencyMetrics) retried(why reason.Retry) {
	retries.WithLabelValues(m.dependency, string(why)).Inc()
}

func (m *dependencyMetrics) refused(why reason.Refusal, class string) {
	retriesRefused.WithLabelValues(m.dependency, string(why), class).Inc()
}
