package admission

import (
	"math"
	"time"
)

// failures is the recent share of requests that the server has failed. It fades with
// time as well as with outcomes: a failing server that gets no requests any more is
// tried again after some seconds. Time is an argument; the owner guards it.
type failures struct {
	share float64
	at    time.Time
}

// observe adds one outcome.
func (f *failures) observe(now time.Time, failed bool) {
	f.share, f.at = f.rate(now), now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.share += failureWeight * (outcome - f.share)
}

// rate returns the share, 0 to 1.
func (f *failures) rate(now time.Time) float64 {
	if now.Before(f.at) {
		return f.share
	}
	return f.share * math.Exp(-now.Sub(f.at).Seconds()/failureMemory.Seconds())
}
