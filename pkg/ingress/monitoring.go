package ingress

import (
	"net"

	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/event"
)

// closeReason tells why a client's connection or request was ended to free memory or descriptors.
type closeReason string

const (
	closedIncomplete closeReason = "incomplete" // a request that was received in part was refused
	closedUnread     closeReason = "unread"     // the client did not read its response
	closedIdle       closeReason = "idle"       // an idle connection, for its memory
	closedForOther   closeReason = "for-other"  // the least active connection, for a new one
	closedRefused    closeReason = "refused"    // a new connection, since all others are in use
)

// Metrics holds the metrics of a Server.
type Metrics struct {
	closes *prometheus.CounterVec
	log    *event.LimitedLog
}

// NewMetrics returns the metrics and registers them with reg unless reg is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		closes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "corianderwood_client_connections_closed_total", Help: "Connections of clients that were closed, or requests received in part that were refused, to free memory or descriptors, by reason."}, []string{"reason"}),
		log: event.NewLimitedLog(closeLogRate, closeLogRate),
	}
	for _, why := range []closeReason{closedIncomplete, closedUnread, closedIdle, closedForOther, closedRefused} {
		m.closes.WithLabelValues(string(why))
	}
	if reg != nil {
		reg.MustRegister(m.closes)
	}
	return m
}

// closed records the end of a connection or request. The log is limited, since a crowd may cause one
// line each.
func (m *Metrics) closed(why closeReason, remote net.Addr) {
	m.closes.WithLabelValues(string(why)).Inc()
	m.log.Write(event.ResourcesFreed, "kind", "client", "reason", string(why), "remote", remote)
}
