package placement

import (
	"math"

	"corianderwood.example/corianderwood/pkg/call"
)

// maxSlots and maxRate bound what a server may announce, so that costs stay finite.
const (
	maxSlots = 1 << 16
	maxRate  = 1e12 // requests or bytes per second
)

// within returns the value nearest to v from 0 to limit; 0 for NaN.
func within(v, limit float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return min(max(v, 0), limit)
}

// inRange returns the announcement with each value moved into its range. A value out of
// range would make a server look better than any other, or make costs incomparable.
func (s Server) inRange() Server {
	s.Slots = min(max(s.Slots, 1), maxSlots)
	s.FailureRate = within(s.FailureRate, 1)
	s.RequestLimit = within(s.RequestLimit, maxRate)
	s.LinkBytesPerSecond = within(s.LinkBytesPerSecond, maxRate)
	return s
}

// loadInRange returns the load report with each value moved into its range.
func loadInRange(l call.Load) call.Load {
	l.Running, l.Waiting = min(max(l.Running, 0), maxSlots), min(max(l.Waiting, 0), maxSlots)
	l.ServiceTime, l.UplinkBacklog = max(l.ServiceTime, 0), max(l.UplinkBacklog, 0)
	l.FailureRate = within(l.FailureRate, 1)
	return l
}
