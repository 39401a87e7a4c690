package admission

import "time"

// serviceTimes keeps the mean service time of each route. The owner guards it.
type serviceTimes struct {
	byRoute map[string]time.Duration
	overall time.Duration
}

func newServiceTimes() *serviceTimes { return &serviceTimes{byRoute: make(map[string]time.Duration)} }

func (s *serviceTimes) observe(route string, d time.Duration) {
	s.byRoute[route] = blend(s.byRoute[route], d)
	s.overall = blend(s.overall, d)
}

func (s *serviceTimes) of(route string) time.Duration {
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

func blend(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + time.Duration(serviceTimeWeight*float64(d-mean))
}
