package sidecar

import (
	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/event"
)

// Kinds of the connections whose number is limited, besides those of clients.
const (
	kindHeartbeat = "heartbeat"
	kindReadiness = "readiness"
	kindMetrics   = "metrics"
	kindLink      = "link"
)

var connectionKinds = []string{kindHeartbeat, kindReadiness, kindMetrics, kindLink}

// connectionClosed records that a connection was closed for another one.
func (m *metrics) connectionClosed(kind string) {
	m.connectionsClosed.WithLabelValues(kind).Inc()
	m.closeLog.Write(event.ResourcesFreed, "kind", kind, "reason", "for-other")
}

type metrics struct {
	storeCalls             prometheus.Counter
	storeFailures          prometheus.Counter
	storeRepeats           prometheus.Counter
	storeResponsesRefused  prometheus.Counter
	storeLastResponse      *prometheus.GaugeVec // by table
	configurationsRejected prometheus.Counter
	configuration          prometheus.Gauge
	accounts               prometheus.Gauge
	heartbeatsMalformed    prometheus.Counter
	noticesMalformed       prometheus.Counter
	serverRequestLimit     prometheus.Gauge
	peersUp                prometheus.Gauge
	linksLost              prometheus.Counter
	linksSilent            prometheus.Counter
	acceptFailures         prometheus.Counter
	departureWriteFailures prometheus.Counter
	connectionsClosed      *prometheus.CounterVec // by kind
	closeLog               *event.LimitedLog
	evacuations            prometheus.Gauge
	freezes                prometheus.Counter
	serverCold             prometheus.Gauge
	restartsSuspected      prometheus.Counter
	healthRequests         prometheus.Counter
	healthFailures         prometheus.Counter
	freshnessQuestions     prometheus.Counter // nil unless freshness is required, as freshnessLosses
	freshnessLosses        prometheus.Counter
}

// addFreshness adds the metrics of nodes that accept keys only while their configuration is known
// to be current.
func (m *metrics) addFreshness(reg prometheus.Registerer, remaining func() float64) {
	m.freshnessQuestions = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corianderwood_freshness_questions_total", Help: "Questions to peers how current their configuration is."})
	m.freshnessLosses = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "corianderwood_freshness_losses_total", Help: "Times that keys were no longer accepted because the configuration might be out of date."})
	reg.MustRegister(m.freshnessQuestions, m.freshnessLosses, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "corianderwood_configuration_fresh_seconds",
		Help: "Time for which keys are accepted if nothing is heard of the store any more; 0 if they are refused, -1 if the configuration has no accounts.",
	}, remaining))
}

func newMetrics(reg prometheus.Registerer, droppedLines func() int64) *metrics {
	reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "corianderwood_log_lines_dropped_total", Help: "Log lines dropped because the log output was too slow.",
	}, func() float64 { return float64(droppedLines()) }))
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		reg.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
		reg.MustRegister(g)
		return g
	}
	lastResponse := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "corianderwood_store_last_response_timestamp_seconds", Help: "Time of the store's last response to a read, by table.",
	}, []string{"table"})
	closed := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_connections_closed_total", Help: "Connections to the node's own endpoints and for links that were closed to free descriptors, by kind.",
	}, []string{"kind"})
	for _, kind := range connectionKinds {
		closed.WithLabelValues(kind)
	}
	reg.MustRegister(lastResponse, closed)
	return &metrics{
		storeLastResponse:      lastResponse,
		connectionsClosed:      closed,
		closeLog:               event.NewLimitedLog(closeLogRate, closeLogRate),
		storeCalls:             counter("corianderwood_store_calls_total", "Requests to the store."),
		storeFailures:          counter("corianderwood_store_failures_total", "Requests to the store that failed."),
		storeResponsesRefused:  counter("corianderwood_store_responses_refused_total", "Responses of the store that could not be read or had rows of another table."),
		storeRepeats:           counter("corianderwood_store_repeats_total", "Reads of the store repeated because the response was overdue."),
		configurationsRejected: counter("corianderwood_configurations_rejected_total", "Configurations rejected as invalid or outdated."),
		configuration:          gauge("corianderwood_configuration_version", "Version of the configuration in force."),
		accounts:               gauge("corianderwood_accounts", "Client accounts in the configuration in force; -1 if requests need no key."),
		heartbeatsMalformed:    counter("corianderwood_heartbeats_malformed_total", "Heartbeats that could not be decoded."),
		noticesMalformed:       counter("corianderwood_server_notices_malformed_total", "Responses in which the local server's notice could not be decoded."),
		serverRequestLimit:     gauge("corianderwood_server_request_limit", "Requests per second that the local server takes by its last response; -1 if it names no limit."),
		peersUp:                gauge("corianderwood_peers_up", "Peers with an established outbound link."),
		linksSilent:            counter("corianderwood_links_silent_total", "Times that a peer did not respond to a ping for a while."),
		acceptFailures:         counter("corianderwood_accept_failures_total", "Failures to accept a connection, after which accepting was retried."),
		departureWriteFailures: counter("corianderwood_departure_write_failures_total", "Failed writes of departures of the local server to the store."),
		evacuations:            gauge("corianderwood_failure_domains_evacuated", "Failure domains whose servers get no requests by order of the operator."),
		freezes:                counter("corianderwood_freezes_total", "Times that this process was found to have been frozen for more than a second."),
		serverCold:             gauge("corianderwood_server_cold", "1 while the local server gets only the requests of a cold one, otherwise 0."),
		restartsSuspected:      counter("corianderwood_server_restarts_suspected_total", "Times that the local server counted as cold because it may have restarted."),
		healthRequests:         counter("corianderwood_server_health_requests_total", "Requests to the local server's health check."),
		healthFailures:         counter("corianderwood_server_health_failures_total", "Requests to the local server's health check without a cold time in the response."),
		linksLost:              counter("corianderwood_links_lost_total", "Outbound links to peers that were lost."),
	}
}
