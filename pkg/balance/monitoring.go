package balance

import "github.com/prometheus/client_golang/prometheus"

var (
	ejectedUpstreams = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "corianderwood_balance_ejected",
		Help: "Number of ejected upstreams by service.",
	}, []string{"service"})
	ejections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_balance_ejections_total",
		Help: "Ejections of upstreams by service.",
	}, []string{"service"})
	probes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_balance_probes_total",
		Help: "Probe calls sent to ejected upstreams by service.",
	}, []string{"service"})
	lastResorts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_balance_last_resorts_total",
		Help: "Calls sent to ejected upstreams because no other upstream was available, by service.",
	}, []string{"service"})
	picks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_balance_picks_total",
		Help: "Selected upstreams by service and distance.",
	}, []string{"service", "distance"})
)

// Collectors returns the metrics of the package for registration.
func Collectors() []prometheus.Collector {
	return []prometheus.Collector{ejectedUpstreams, ejections, probes, lastResorts, picks}
}

// serviceMetrics holds the metrics of one service. The group's lock guards it.
type serviceMetrics struct {
	ejected     prometheus.Gauge
	lastEjected int
	ejections   prometheus.Counter
	probes      prometheus.Counter
	lastResorts prometheus.Counter
	picks       [tierCount]prometheus.Counter
}

func newServiceMetrics(service string) *serviceMetrics {
	m := &serviceMetrics{
		ejected:     ejectedUpstreams.WithLabelValues(service),
		ejections:   ejections.WithLabelValues(service),
		probes:      probes.WithLabelValues(service),
		lastResorts: lastResorts.WithLabelValues(service),
	}
	for t, name := range tierNames {
		m.picks[t] = picks.WithLabelValues(service, name)
	}
	return m
}

// setEjected adds the difference to the gauge, so that the gauge shows the sum over all
// balancers of a process.
func (m *serviceMetrics) setEjected(n int) {
	m.ejected.Add(float64(n - m.lastEjected))
	m.lastEjected = n
}
