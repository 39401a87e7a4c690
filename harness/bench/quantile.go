package bench

import (
	"cmp"
	"slices"
)

// quantile returns the q-quantile of the values for q in [0, 1], or the zero value if
// there are none. It sorts values in place.
func quantile[T cmp.Ordered](values []T, q float64) T {
	var none T
	if len(values) == 0 {
		return none
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
