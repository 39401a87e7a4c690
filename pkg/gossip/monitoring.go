package gossip

import "github.com/prometheus/client_golang/prometheus"

// metrics counts what an Agent sends, receives, refuses and drops.
type metrics struct {
	bytesOut, bytesIn, messagesOut, messagesIn *prometheus.CounterVec
	events, drops                              *prometheus.CounterVec
	held                                       prometheus.Gauge
	live                                       prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	vec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "corianderwood", Subsystem: "gossip", Name: name, Help: help,
		}, []string{label})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "corianderwood", Subsystem: "gossip", Name: name, Help: help,
		})
	}
	m := &metrics{
		bytesOut:    vec("sent_bytes_total", "Control bytes sent, before encryption, by message type.", "type"),
		bytesIn:     vec("received_bytes_total", "Control bytes received, after decryption, by message type.", "type"),
		messagesOut: vec("sent_messages_total", "Control messages sent by message type.", "type"),
		messagesIn:  vec("received_messages_total", "Control messages received by message type.", "type"),
		events:      vec("refusals_total", "Refused or failed items by reason.", "reason"),
		drops:       vec("drops_total", "Dropped messages by queue.", "queue"),
		held:        gauge("held_revision", "Highest revision held completely."),
		live:        gauge("live_members", "Members that are not dead."),
	}
	if reg != nil {
		reg.MustRegister(m.bytesOut, m.bytesIn, m.messagesOut, m.messagesIn, m.events, m.drops, m.held, m.live)
	}
	return m
}

func (m *metrics) refused(reason string) { m.events.WithLabelValues(reason).Inc() }

func (m *metrics) dropped(queue string) { m.drops.WithLabelValues(queue).Inc() }

func (m *metrics) sent(kind string, bytes int) {
	m.messagesOut.WithLabelValues(kind).Inc()
	m.bytesOut.WithLabelValues(kind).Add(float64(bytes))
}

func (m *metrics) received(kind string, bytes int) {
	m.messagesIn.WithLabelValues(kind).Inc()
	m.bytesIn.WithLabelValues(kind).Add(float64(bytes))
}
