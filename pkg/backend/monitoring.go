package backend

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/framing"
)

// Metrics holds the metrics of a Client.
type Metrics struct {
	opened    prometheus.Counter
	repeated  prometheus.Counter
	skipped   *prometheus.CounterVec
	withoutID prometheus.Counter
	// interruptions counts responses within which another one begins, unexpectedBytes those behind
	// which bytes follow.
	interruptions   *prometheus.CounterVec
	unexpectedBytes prometheus.Counter
	// invalid counts responses whose status, version or fields HTTP/1 doesn't allow.
	invalid prometheus.Counter
	// responseLog and repeatedLog are apart, since a server that copies responses would use
	// up the lines about repeated ids.
	responseLog, repeatedLog *event.LimitedLog
}

// NewMetrics returns the metrics and registers them with reg unless reg is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		opened: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_server_connections_opened_total", Help: "Connections opened to the local server."}),
		repeated: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_server_ids_repeated_total", Help: "Requests for which an idle connection to the local server was passed over because it had carried their id."}),
		skipped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_server_responses_skipped_total", Help: "Responses of the local server that were not those to the request in progress, by reason."}, []string{"reason"}),
		withoutID: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_server_responses_without_id_total", Help: "Responses of the local server without a request id to the first request on a connection."}),
		interruptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_server_responses_interrupted_total", Help: "Responses of the local server within which another response begins, by what tells their length."}, []string{"framing"}),
		unexpectedBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_server_bytes_after_response_total", Help: "Connections to the local server that were closed because bytes followed a complete response."}),
		invalid: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_server_responses_invalid_total", Help: "Responses of the local server with a status, version, field or line of the head that HTTP/1 doesn't allow."}),
		responseLog: event.NewLimitedLog(responseLogRate, responseLogRate),
		repeatedLog: event.NewLimitedLog(repeatedLogRate, repeatedLogRate),
	}
	for _, why := range []skipReason{skipInterim, skipCopy, skipDiffers, skipForeign, skipNoID} {
		m.skipped.WithLabelValues(string(why))
	}
	for _, by := range []framedBy{byHead, byLength, byChunks, byEnd} {
		m.interruptions.WithLabelValues(string(by))
	}
	if reg != nil {
		reg.MustRegister(m.opened, m.repeated, m.skipped, m.withoutID, m.interruptions, m.unexpectedBytes, m.invalid)
	}
	return m
}

// idRepeated records a request for which a connection was passed over because of its id.
func (m *Metrics) idRepeated(id string) {
	m.repeated.Inc()
	m.repeatedLog.Write(event.UpstreamIDRepeated, "request", id)
}

// skip records a response that is not the one to the request with the id.
func (m *Metrics) skip(why skipReason, id, received string, status int, conn *connection) {
	m.skipped.WithLabelValues(string(why)).Inc()
	if why == skipInterim {
		return
	}
	m.responseLog.Write(event.UpstreamResponseSkipped, "request", id, "received", received, "status", status, "reason", string(why), "carried", conn.ids.len())
}

// notWhole records a response that could not be read, if that is because another one begins within it
// or because HTTP/1 doesn't allow its status or head.
func (m *Metrics) notWhole(err error, id string, by framedBy, conn *connection) {
	if errors.As(err, new(*framing.InvalidStatusError)) || errors.As(err, new(*framing.InvalidHeadError)) {
		m.invalid.Inc()
		m.responseLog.Write(event.UpstreamResponseInvalid, "request", id, "cause", err.Error(), "carried", conn.ids.len())
		return
	}
	var found *framing.Interruption
	if !errors.As(err, &found) {
		return
	}
	m.interruptions.WithLabelValues(string(by)).Inc()
	m.responseLog.Write(event.UpstreamInterrupted, "request", id, "framing", string(by), "at", found.At,
		"other", found.Status, "header", found.Mark.Name, "value", found.Mark.Value, "carried", conn.ids.len())
}

// responseWithoutID records a response without an id that is taken for the one to the request,
// the first on its connection.
func (m *Metrics) responseWithoutID(id string, status int) {
	m.withoutID.Inc()
	m.responseLog.Write(event.UpstreamResponseWithoutID, "request", id, "status", status)
}
