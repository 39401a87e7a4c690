package admission

import "time"

// serviceTimes holds moving averages of the service time per route. It is not safe for
// concurrent use.
type serviceTimes struct {
	byRoute map[string]time.Duration
	overall time.Duration
}

func newServiceTimes() *serviceTimes { return &serviceTimes{byRoute: make(map[string]time.Duration)} }

func (s *serviceTimes) observe(route string, d time.Duration) {
	s.byRoute[route] = movingAverage(s.byRoute[route], d)
	s.overall = movingAverage(s.overall, d)
}

// observed returns the mean service time of the route, or of all routes if none of its
// requests was observed; 0 before the first observation.
func (s *serviceTimes) observed(route string) time.Duration {
	if d, ok := s.byRoute[route]; ok {
		return d
	}
	return s.overall
}

// expected returns the expected service time of a request of the route whose response is
// due within target. If no request of the route was observed, it is assumed to take a share
// of that time. After a start, a value that is too small for the route would let more requests
// wait than can be answered on time, until the first responses show it.
func (s *serviceTimes) expected(route string, target time.Duration) time.Duration {
	if d, ok := s.byRoute[route]; ok {
		return d
	}
	assumed := time.Duration(assumedTargetShare * float64(target))
	if s.overall == 0 {
		return max(assumed, initialServiceTime)
	}
	return max(assumed, s.overall)
}

func movingAverage(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + time.Duration(serviceTimeWeight*float64(d-mean))
}
