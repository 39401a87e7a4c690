package sidecar

import "time"

// Bounds are the limits that the deployment guarantees to its users.
type Bounds struct {
	// ConfigApply is the time from the confirmation of a configuration until it is in
	// force on all nodes.
	ConfigApply time.Duration
	// Drain is how long a server may still receive requests after its drain request
	// was acknowledged.
	Drain time.Duration
	// Settle is how long a process must have run undisturbed until the other bounds bind it.
	Settle time.Duration
	// Grace is the time between the stop signal and the forced kill of the process.
	Grace time.Duration
	// ExposureShare and ExposureExtra limit the requests sent to a faulty version
	// during a rollout: a share of all requests, and a number on top of it.
	ExposureShare, ExposureExtra float64
	// RetryRatio and RetryExtra limit the retries of a service's requests within any
	// RetryWindow, summed over all nodes: a ratio of the requests, and a number on
	// top of it.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
	// Revoke is the time from the confirmation of a configuration without a key until no node
	// accepts the key. If StrictRevoke is set, that binds nodes without a connection too.
	Revoke       time.Duration
	StrictRevoke bool
	// QuotaWindow, QuotaOverage and QuotaSlack bound the requests of a limited account: in any
	// window, summed over all nodes, (rate x window + burst) x (1 + overage) + slack.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
	// QuotaEpochs lets the nodes with a share of the limits change. It must be set at all nodes.
	QuotaEpochs bool
	// ColdOverage and ColdSlack bound the requests to a cold server in any second, summed over
	// all nodes: the service's rate for cold servers x overage + slack.
	ColdOverage, ColdSlack float64
	// Evacuate is the time from the confirmation of an evacuation until the servers of the
	// failure domain get no more requests; 0 if the deployment names none. A node that finds that
	// it was frozen then passes no requests to its server until it knows what was ordered meanwhile.
	Evacuate time.Duration
}

// DefaultBounds are the bounds of both current deployments.
var DefaultBounds = Bounds{
	ConfigApply: 2 * time.Second, Drain: 2 * time.Second, Settle: 3 * time.Second, Grace: 6 * time.Second, ExposureShare: 0.1, ExposureExtra: 50,
	RetryRatio: 0.2, RetryExtra: 64, RetryWindow: 10 * time.Second,
	Revoke: 5 * time.Second, QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20,
	ColdOverage: 1.5, ColdSlack: 8,
}
