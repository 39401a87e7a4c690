package dispatch

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

// Metrics holds the metrics of a Dispatcher.
type Metrics struct {
	refusals  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	responses *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	// repeatedIDs counts requests with the id of an earlier one.
	repeatedIDs prometheus.Counter
	// foreignResponses counts responses with the id of another request.
	foreignResponses prometheus.Counter
	// refusalRegistry has the refusals only, so that reading them gathers nothing else.
	refusalRegistry *prometheus.Registry
}

// NewMetrics returns the metrics and registers them with reg unless reg is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_request_refusals_total", Help: "Requests refused, rejected or failed without a server's response, by reason."}, []string{"reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_request_repeats_total", Help: "Retries of requests at another server, by reason."}, []string{"reason"}),
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_request_answers_total", Help: "Responses to requests by kind and status."}, []string{"kind", "status"}),
		repeatedIDs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_request_ids_repeated_total", Help: "Requests of callers with the id of one that was received shortly before."}),
		foreignResponses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_responses_foreign_total", Help: "Responses of servers that belonged to another request and were not passed on."}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "corianderwood_request_seconds", Help: "Time from receiving a request to its response.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 10)}, []string{"kind"}),
	}
	m.refusalRegistry = prometheus.NewRegistry()
	m.refusalRegistry.MustRegister(m.refusals)
	if reg != nil {
		reg.MustRegister(m.refusals, m.retries, m.responses, m.latency, m.repeatedIDs, m.foreignResponses)
	}
	return m
}

func (m *Metrics) refused(why reason.Refusal) { m.refusals.WithLabelValues(string(why)).Inc() }

// Refusals returns how many requests were refused, by reason.
func (m *Metrics) Refusals() (map[string]uint64, error) {
	families, err := m.refusalRegistry.Gather()
	out := make(map[string]uint64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				out[label.GetValue()] = uint64(metric.GetCounter().GetValue())
			}
		}
	}
	return out, err
}

func (m *Metrics) retried(res call.Response) {
	why := reason.RetryBroken
	switch {
	case res.Ran == reason.RanNo:
		why = reason.RetryNotRun
	case res.Status != 0:
		why = reason.RetryUnavailable
	}
	m.retries.WithLabelValues(string(why)).Inc()
}

func (m *Metrics) responded(route *routing.Route, status int, took time.Duration) {
	kind := route.Kind.String()
	m.responses.WithLabelValues(kind, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(kind).Observe(took.Seconds())
}
