package bench

import "context"

// Suite is a named group of measurements. Run returns the measured rows; it stops early
// when ctx is canceled.
type Suite struct {
	Name string
	Run  func(ctx context.Context) ([]Row, error)
}
