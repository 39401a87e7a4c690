package sidecar

import "time"

// Bounds are the figures that the deployment promises its users.
type Bounds struct {
	// Drain is how long after its acknowledged leave a server may get requests.
	Drain time.Duration
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
	// ExposureShare and ExposureExtra bound the requests of a bad version.
	ExposureShare, ExposureExtra float64
	// RetryRatio and RetryExtra bound the repeats of a service's requests within any
	// RetryWindow, over all nodes.
	RetryRatio, RetryExtra float64
	RetryWindow            time.Duration
}

// DefaultBounds are the figures of both deployments of today.
var DefaultBounds = Bounds{
	Drain: 2 * time.Second, Grace: 6 * time.Second, ExposureShare: 0.1, ExposureExtra: 50,
	RetryRatio: 0.2, RetryExtra: 64, RetryWindow: 10 * time.Second,
}
