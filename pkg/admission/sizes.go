package admission

// responseSizes holds moving averages of the response size per route, in bytes. It is
// not safe for concurrent use.
type responseSizes struct {
	byRoute map[string]float64
}

func newResponseSizes() *responseSizes { return &responseSizes{byRoute: make(map[string]float64)} }

func (s *responseSizes) observe(route string, size int) {
	mean, ok := s.byRoute[route]
	if !ok {
		mean = float64(size)
	}
	s.byRoute[route] = mean + responseSizeWeight*(float64(size)-mean)
}

func (s *responseSizes) expected(route string) int { return int(s.byRoute[route]) }
