package admission

// responseSizes keeps the mean response size of each route, in bytes. The owner
// guards it.
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

func (s *responseSizes) of(route string) int { return int(s.byRoute[route]) }
