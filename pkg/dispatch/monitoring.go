package dispatch

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Metrics are the metrics of an entrance.
type Metrics struct {
	refusals *prometheus.CounterVec
	repeats  *prometheus.CounterVec
	answers  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// NewMetrics registers the metrics with reg; nil leaves them unregistered.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_request_refusals_total", Help: "Requests that no server answered, by reason."}, []string{"reason"}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_request_repeats_total", Help: "Requests sent to a further server, by reason."}, []string{"reason"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_request_answers_total", Help: "Answers to requests by kind and status."}, []string{"kind", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "corianderwood_request_seconds", Help: "Time from a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 10)}, []string{"kind"}),
	}
	if reg != nil {
		reg.MustRegister(m.refusals, m.repeats, m.answers, m.latency)
	}
	return m
}

func (m *Metrics) refused(why reason.Refusal) { m.refusals.WithLabelValues(string(why)).Inc() }

func (m *Metrics) repeated(res call.Response) {
	why := reason.RetryBroken
	switch {
	case res.Ran == reason.RanNo:
		why = reason.RetryNotRun
	case res.Status != 0:
		why = reason.RetryUnavailable
	}
	m.repeats.WithLabelValues(string(why)).Inc()
}

func (m *Metrics) answered(route *routing.Route, status int, took time.Duration) {
	kind := route.Kind.String()
	m.answers.WithLabelValues(kind, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(kind).Observe(took.Seconds())
}
