package member

// FNV-1a constants for 64 bits.
const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

// hashString continues the FNV-1a hash h with s and a byte that ends s: it does not occur
// in UTF-8, so that two strings hash differently from another split of the same bytes.
func hashString(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return (h ^ 0xff) * fnvPrime
}

// mix is the 64-bit finalizer of MurmurHash3. FNV alone distributes the last bytes of
// similar names poorly over the high bits, which rendezvous ranking compares.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func nameHash(name string) uint64 { return mix(hashString(fnvOffset, name)) }

// versionHash identifies one update of a member; it is equal on all nodes.
func versionHash(name uint64, m *Member) uint64 {
	return mix(name ^ mix(m.Incarnation) ^ mix(mix(m.Sequence)+uint64(m.State)))
}
