package downlink

import "time"

const (
	// usableShare is the share of the link's bandwidth that is used for large requests; the
	// rest is for small frames.
	usableShare = 0.8
	// inFlightTime is the time in which the link can carry the bytes that are granted and not
	// received. A ping that waits behind them is answered long before a link counts as silent.
	inFlightTime = 60 * time.Millisecond
	// grantMargin is how much longer than on an idle link a granted transfer may take before its
	// place is given to others.
	grantMargin = 1 * time.Second
	// minBytes is the smallest size that a transfer counts with, and maxWaiting bounds the
	// waiting transfers: peers cannot make the queue grow without bound.
	minBytes   = 16 << 10
	maxWaiting = 256
	// minRetryAfter and maxRetryAfter bound the time after which a refused request may be sent
	// again.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)
