package ledger

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of a ledger.
type Metrics struct {
	entries          prometheus.Gauge
	responseBytes    prometheus.Gauge
	refused          prometheus.Counter
	fences           prometheus.Counter
	responsesDropped prometheus.Counter
}

// NewMetrics registers the metrics with reg; nil leaves them unregistered.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		entries: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "corianderwood_ledger_entries", Help: "Call ids in the ledger."}),
		responseBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "corianderwood_ledger_answer_bytes", Help: "Size in bytes of the responses stored in the ledger."}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_ledger_refused_total", Help: "Calls refused because the ledger was full."}),
		fences: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_ledger_bars_total", Help: "Call ids that outcome queries fenced: reported as not run, and rejected if they arrive."}),
		responsesDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_ledger_answers_dropped_total", Help: "Stored responses dropped before their entry expired, to bound the memory."}),
	}
	if reg != nil {
		reg.MustRegister(m.entries, m.responseBytes, m.refused, m.fences, m.responsesDropped)
	}
	return m
}
