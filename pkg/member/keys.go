package member

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of m in ascending order. Iteration in a fixed order makes
// runs with the same random seed identical.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
