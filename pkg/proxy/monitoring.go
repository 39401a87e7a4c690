package proxy

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of CallerServer and PeerServer, which share one value.
type Metrics struct {
	refused  *prometheus.CounterVec // by hop and reason
	retries  *prometheus.CounterVec // by reason
	first    prometheus.Counter
	queries  *prometheus.CounterVec // by result
	unknown  prometheus.Counter
	opened   *prometheus.CounterVec // by kind of connection
	stalled  *prometheus.CounterVec // by kind of connection
	aborted  *prometheus.CounterVec // by hop
	running  *prometheus.GaugeVec   // by hop
	canceled prometheus.Counter
	// unsolicited counts by kind of connection and by how the response was found.
	unsolicited *prometheus.CounterVec

	runningAtIngress, runningAtPeer prometheus.Gauge // running, for each value of hop

	handshakes prometheus.Counter // failed TLS handshakes of peers
}

// Values of the hop label.
const (
	hopIngress = "entrance"
	hopPeer    = "peer"
)

// Values of the kind label of connections.
const (
	kindPeer     = "peer"
	kindUpstream = "upstream"
)

// Values of the found label of unsolicited responses.
const (
	foundOtherID        = "other-id"        // the response names another exchange
	foundWithinResponse = "within-response" // another response begins within the response
	foundAfterResponse  = "after-response"  // bytes followed a complete response
	foundIdle           = "idle"            // bytes were read on an idle connection
)

// Results of outcome queries.
const (
	resultNotRun    = "not-run"
	resultAnswered  = "answered"
	resultRanLost   = "ran-answer-lost"
	resultUnknown   = "unknown"
	resultUnreached = "unreached"
)

// NewMetrics registers the metrics with reg; nil leaves them unregistered.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "corianderwood_proxy_" + name, Help: help}, labels)
	}
	one := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "corianderwood_proxy_" + name, Help: help})
	}
	m := &Metrics{
		refused:     vec("refusals_total", "Refused calls.", "hop", "reason"),
		retries:     vec("retries_total", "Retries.", "reason"),
		first:       one("first_attempts_total", "First attempts."),
		queries:     vec("outcome_queries_total", "Non-repeatable attempts whose connection broke, by the result of the outcome query.", "result"),
		unknown:     one("unknown_outcomes_total", "Non-repeatable calls that ended with an unknown outcome."),
		opened:      vec("connections_opened_total", "Opened connections.", "kind"),
		stalled:     vec("connections_silent_total", "Connections dropped because they were stalled: open, but transferring no data.", "kind"),
		aborted:     vec("aborted_responses_total", "Responses aborted because the connection to a later hop broke.", "hop"),
		unsolicited: vec("unsolicited_responses_total", "Responses, or bytes of some, that belong to no request in progress on their connection, by where they were found: idle, after-response, within-response, other-id.", "kind", "found"),
		handshakes:  one("failed_handshakes_total", "Failed TLS handshakes at the peer listener."),
		canceled:    one("canceled_calls_total", "Calls whose caller disconnected."),
		running: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "corianderwood_proxy_running_calls", Help: "Calls in progress."}, []string{"hop"}),
	}
	m.runningAtIngress = m.running.WithLabelValues(hopIngress)
	m.runningAtPeer = m.running.WithLabelValues(hopPeer)
	if reg != nil {
		reg.MustRegister(m.refused, m.retries, m.first, m.queries, m.unknown, m.opened, m.stalled, m.aborted, m.canceled, m.running, m.handshakes, m.unsolicited)
	}
	return m
}
