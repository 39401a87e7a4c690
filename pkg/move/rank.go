package move

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Deciders returns the deciders of a move: the DeciderCount instances with the highest
// rendezvous-hash scores for the move id, highest first. instances are the live members
// of the service; duplicates are ignored.
func Deciders(id string, instances []string) []string {
	ranked := slices.Clone(instances)
	slices.Sort(ranked)
	ranked = slices.Compact(ranked)
	slices.SortStableFunc(ranked, func(a, b string) int {
		return cmp.Compare(score(id, b), score(id, a))
	})
	return ranked[:min(len(ranked), DeciderCount)]
}

// score returns the rendezvous-hash score of an instance.
func score(id, instance string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte{0})
	h.Write([]byte(instance))
	// FNV alone propagates a difference in the last byte to only a few bits, so the
	// finalizer of SplitMix64 follows.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
