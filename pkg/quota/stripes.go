package quota

import (
	"hash/fnv"

	"corianderwood.example/corianderwood/pkg/account"
)

// portion returns the part of the account's limit that belongs to the stripe. It depends on the
// limit only, so that nodes with the same configuration agree.
func (b Bounds) portion(a account.Account, stripe int) float64 {
	if b.depth(a) >= Stripes*minStripeDepth && !b.whole {
		return 1.0 / Stripes
	}
	if hash(a.Name)%Stripes == uint64(stripe) {
		return 1
	}
	return 0
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // hash.Hash documents that Write never fails
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix spreads the bits of an FNV hash, whose high bits depend little on the last bytes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
