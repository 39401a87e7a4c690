package link

import (
	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/event"
)

// kindNames are the values of the label "kind".
var kindNames = map[Kind]string{
	KindHello: "hello", KindServerState: "server_state", KindRequest: "request", KindResponse: "response",
	KindCancel: "cancel", KindVersions: "versions", KindRowsRequest: "rows_request", KindRows: "rows",
	KindEvidence: "evidence", KindOutcomeRequest: "outcome_request", KindPing: "ping", KindPong: "pong",
	KindPreviousServer: "previous_server", KindTransferRequest: "transfer_request", KindTransferGrant: "transfer_grant",
	KindQuotaReport: "quota_report", KindQuotaGrant: "quota_grant",
}

// countedAs maps kinds of frames that not every deployment has to the kind whose counter has their
// bytes, so that the others hold no counters for them.
var countedAs = map[Kind]Kind{
	KindAccountRequest: KindRequest, KindFreshnessRequest: KindVersions, KindFreshness: KindVersions,
	KindSharesRequest: KindVersions, KindShares: KindVersions, KindQuotaShareReport: KindQuotaReport,
}

// Metrics holds the metrics of all links of a node.
type Metrics struct {
	bytesQueued map[Kind]prometheus.Counter
	// reclaimed counts links that were closed for their memory.
	reclaimed prometheus.Counter
	log       *event.LimitedLog
	// transfersGranted and transfersRefused count the answers to announced requests of peers;
	// transferBytes holds the announced bytes that wait.
	transfersGranted, transfersRefused prometheus.Counter
	transferBytes                      prometheus.Gauge
}

// NewMetrics returns the metrics and registers them with reg unless reg is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	queued := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_link_bytes_total", Help: "Bytes of the frames queued for other nodes, by kind."}, []string{"kind"})
	transfers := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_link_transfers_total", Help: "Large requests that other nodes have announced, by answer."}, []string{"answer"})
	waiting := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "corianderwood_link_transfer_waiting_bytes", Help: "Bytes of the large requests that other nodes have announced and that are not answered."})
	m := &Metrics{
		bytesQueued: make(map[Kind]prometheus.Counter), transferBytes: waiting,
		transfersGranted: transfers.WithLabelValues("granted"), transfersRefused: transfers.WithLabelValues("refused"),
		reclaimed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "corianderwood_links_closed_for_memory_total", Help: "Links that were closed since they held memory without progress while memory was short."}),
		log: event.NewLimitedLog(reclaimLogRate, reclaimLogRate),
	}
	if reg != nil {
		reg.MustRegister(queued, m.reclaimed, transfers, waiting)
	}
	for kind, name := range kindNames {
		m.bytesQueued[kind] = queued.WithLabelValues(name)
	}
	return m
}

// closedForMemory records that the link to a peer was closed for its memory.
func (m *Metrics) closedForMemory(peer string) {
	m.reclaimed.Inc()
	m.log.Write(event.ResourcesFreed, "kind", "link", "reason", "memory", "peer", peer)
}

// queued counts a frame.
func (m *Metrics) queued(frame []byte) {
	kind := Kind(frame[frameHeader-1])
	c, ok := m.bytesQueued[kind]
	if !ok {
		c, ok = m.bytesQueued[countedAs[kind]]
	}
	if ok {
		c.Add(float64(len(frame)))
	}
}
