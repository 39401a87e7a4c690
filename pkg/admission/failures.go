package admission

import (
	"math"
	"time"
)

// failureTracker estimates the recent share of requests that the server has failed as
// an exponential moving average. The value also decays with time, so that a failing
// server that receives no requests is retried after a few seconds. It is not safe for
// concurrent use.
type failureTracker struct {
	share     float64
	updatedAt time.Time
}

// observe adds the outcome of one request.
func (f *failureTracker) observe(now time.Time, failed bool) {
	f.share, f.updatedAt = f.rate(now), now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.share += failureWeight * (outcome - f.share)
}

// rate returns the decayed failure rate at the given time, 0 to 1.
func (f *failureTracker) rate(now time.Time) float64 {
	if now.Before(f.updatedAt) {
		return f.share
	}
	return f.share * math.Exp(-now.Sub(f.updatedAt).Seconds()/failureDecayTime.Seconds())
}
