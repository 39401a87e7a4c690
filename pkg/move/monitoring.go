package move

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of deciders, recorders and collectors. A nil *Metrics records
// nothing.
type Metrics struct {
	outcomes     *prometheus.CounterVec
	rollbacks    *prometheus.CounterVec
	stage        *prometheus.GaugeVec
	reports      *prometheus.CounterVec
	pending      prometheus.Counter
	dropped      prometheus.Counter
	suspicious   *prometheus.GaugeVec
	stagesRaised *prometheus.CounterVec
}

// NewMetrics registers the metrics of moves with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_move_outcomes_total", Help: "Recorded move outcomes that this node wrote or read back, by result.",
		}, []string{"result"}),
		rollbacks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_move_take_backs_total", Help: "Rollbacks that this node decided, by reason.",
		}, []string{"reason"}),
		stage: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corianderwood_move_stage", Help: "Current stage of the running moves for which this node is a decider.",
		}, []string{"move"}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_move_evidence_parts_total", Help: "Evidence reports received, by result: merged, unchanged or refused.",
		}, []string{"result"}),
		pending: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_move_pending_writes_total", Help: "Writes of an outcome after which it was not known to be recorded.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_move_observations_dropped_total", Help: "Observed responses not counted because the limit on routes was reached.",
		}),
		suspicious: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corianderwood_move_suspicious", Help: "1 while suspicious evidence delays the next stage of a move.",
		}, []string{"move"}),
		stagesRaised: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_move_stages_raised_total", Help: "Stages that this node raised, by cause: baked (bake time passed) or schedule.",
		}, []string{"cause"}),
	}
	reg.MustRegister(m.outcomes, m.rollbacks, m.stage, m.reports, m.pending, m.dropped, m.suspicious, m.stagesRaised)
	return m
}

func (m *Metrics) countOutcome(o Outcome) {
	if m != nil {
		m.outcomes.WithLabelValues(o.Result).Inc()
	}
}

func (m *Metrics) countRollback(reason string) {
	if m != nil {
		m.rollbacks.WithLabelValues(reason).Inc()
	}
}

func (m *Metrics) countReport(result string) {
	if m != nil {
		m.reports.WithLabelValues(result).Inc()
	}
}

func (m *Metrics) countPendingWrite() {
	if m != nil {
		m.pending.Inc()
	}
}

func (m *Metrics) countDroppedObservation() {
	if m != nil {
		m.dropped.Inc()
	}
}

func (m *Metrics) countStageRaise(cause string) {
	if m != nil {
		m.stagesRaised.WithLabelValues(cause).Inc()
	}
}

func (m *Metrics) setGauges(move string, stage uint8, holding bool) {
	if m == nil {
		return
	}
	m.stage.WithLabelValues(move).Set(float64(stage))
	value := 0.0
	if holding {
		value = 1
	}
	m.suspicious.WithLabelValues(move).Set(value)
}

// deleteGauges deletes the gauges of a move that has an outcome.
func (m *Metrics) deleteGauges(move string) {
	if m != nil {
		m.stage.DeleteLabelValues(move)
		m.suspicious.DeleteLabelValues(move)
	}
}
