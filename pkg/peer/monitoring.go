package peer

import "github.com/prometheus/client_golang/prometheus"

// Reasons for dropping messages, as labels of the metric.
const (
	dropQueueFull  = "queue-full"  // too many messages wait for the peer
	dropQueueLimit = "queue-limit" // messages wait for too many peers
	dropDial       = "dial"        // no connection could be opened
	dropSend       = "send"        // the connection failed while sending
	dropTooLarge   = "too-large"   // the message exceeds a size limit
	dropReceive    = "receive"     // an incoming stream failed
	dropClosed     = "closed"      // the transport is closed
)

type metrics struct {
	drops, connections *prometheus.CounterVec
	collectors         []prometheus.Collector
}

func newMetrics(t *Transport, reg prometheus.Registerer) *metrics {
	const namespace, subsystem = "corianderwood", "peer"
	m := &metrics{
		drops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "drops_total", Help: "Dropped messages by reason.",
		}, []string{"reason"}),
		connections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "connections_total", Help: "Connections by event.",
		}, []string{"event"}),
	}
	m.collectors = []prometheus.Collector{
		m.drops, m.connections,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "open_connections", Help: "Open connections.",
		}, func() float64 { return float64(t.Stats().Connections) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "sent_bytes_total", Help: "QUIC bytes sent, including handshakes and retransmissions.",
		}, func() float64 { return float64(t.Stats().BytesSent) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "received_bytes_total", Help: "QUIC bytes received.",
		}, func() float64 { return float64(t.Stats().BytesReceived) }),
	}
	if reg != nil {
		reg.MustRegister(m.collectors...)
	}
	return m
}

func (m *metrics) dropped(reason string) { m.drops.WithLabelValues(reason).Inc() }

func (m *metrics) connection(event string) { m.connections.WithLabelValues(event).Inc() }
