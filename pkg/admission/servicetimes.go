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

func (s *serviceTimes) expected(route string) time.Duration {
	if d, ok := s.byRoute[route]; ok {
		return d
	}
	return s.mean()
}

func (s *serviceTimes) mean() time.Duration {
	if s.overall == 0 {
		return initialServiceTime
	}
	return s.overall
}

func movingAverage(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + time.Duration(serviceTimeWeight*float64(d-mean))
}
