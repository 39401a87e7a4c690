package accept

import "github.com/prometheus/client_golang/prometheus"

var (
	editsTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_accept_edits_total",
		Help: "Completed edit requests, by result.",
	}, []string{"result"})
	retriesTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "corianderwood_accept_retries_total",
		Help: "Retried attempts of edits, by reason.",
	}, []string{"reason"})
)

// Results of edits as metric label values.
const (
	resultAccepted    = "accepted"
	resultRepeated    = "repeated" // the operation was already applied
	resultConflict    = "conflict"
	resultInvalid     = "invalid"
	resultReused      = "operation-reused"
	resultUnavailable = "unavailable"
	resultUnknown     = "unknown"
)

// Reasons of retries as metric label values.
const (
	retryHeadRace    = "head-race"
	retryUnavailable = "unavailable"
	retryUnknown     = "unknown-outcome"
)

// Collectors returns the metrics of the package, which all acceptors of the process share.
func Collectors() []prometheus.Collector { return []prometheus.Collector{editsTotal, retriesTotal} }
