package upstream

import "time"

const (
	// TTL is the lifetime of an announcement that is not renewed.
	TTL = 3 * time.Second
	// pollInterval is the period of health and load polling.
	pollInterval = time.Second
	// pollTimeout limits one poll.
	pollTimeout = 500 * time.Millisecond
	// unhealthyThreshold is the number of consecutive failed health polls after which
	// the upstream is reported as unhealthy.
	unhealthyThreshold = 3
	// maxBodyBytes limits the body of an announcement or a poll response.
	maxBodyBytes = 16 << 10
	// maxSlots limits the announced number of slots.
	maxSlots = 10000
	// drainPollInterval is the period at which a drain checks for calls in flight.
	drainPollInterval = 10 * time.Millisecond
	// DefaultDrainWait limits a drain whose request has no wait_ms.
	DefaultDrainWait = 60 * time.Second
)
