package limit

import "time"

// serviceTime estimates how long calls hold a slot. It is not safe for concurrent use.
type serviceTime struct {
	mean, deviation time.Duration
	samples         int
}

// observe adds the duration for which one call held a slot.
func (s *serviceTime) observe(d time.Duration) {
	s.samples++
	if s.samples == 1 {
		s.mean, s.deviation = d, d/2
		return
	}
	s.deviation += time.Duration(deviationGain * float64((d-s.mean).Abs()-s.deviation))
	s.mean += time.Duration(serviceGain * float64(d-s.mean))
}

// observeAtLeast adds a call that ended early, whose duration is only a lower bound. It
// ignores bounds below the mean, which carry no information.
func (s *serviceTime) observeAtLeast(d time.Duration) {
	if d > s.mean {
		s.observe(d)
	}
}

// upperEstimate returns a duration within which most calls finish: the mean plus
// deviationFactor mean deviations.
func (s *serviceTime) upperEstimate() time.Duration {
	return s.mean + deviationFactor*s.deviation
}
