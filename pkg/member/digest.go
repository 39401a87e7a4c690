package member

import "slices"

// Digest returns a hash over the incarnation, sequence and state of all members that are
// not dead; it is equal on two nodes with the same records. Revisions in force are left
// out because nodes exchange them separately, tombstones because nodes remove them at
// different times.
func (t *Table) Digest() uint64 {
	h := uint64(0)
	for i, b := range t.buckets {
		h = mix(h ^ b + uint64(i))
	}
	return h
}

// Buckets returns the digest of each bucket of the table, shortened to 32 bits.
func (t *Table) Buckets() []uint32 {
	out := make([]uint32, DigestBuckets)
	for i, b := range t.buckets {
		out[i] = uint32(b)
	}
	return out
}

// Differing returns the indexes of the buckets whose digest differs from another
// table's; none if the other table has another number of buckets.
func (t *Table) Differing(other []uint32) []uint8 {
	if len(other) != DigestBuckets {
		return nil
	}
	var out []uint8
	for i, b := range t.buckets {
		if uint32(b) != other[i] {
			out = append(out, uint8(i))
		}
	}
	return out
}

// InBuckets returns the records in the given buckets, including dead ones, by instance
// name.
func (t *Table) InBuckets(indexes []uint8) []Member {
	var want [DigestBuckets]bool
	for _, p := range indexes {
		want[p] = true
	}
	var out []Member
	if want[t.selfHash%DigestBuckets] {
		out = append(out, t.self)
	}
	for _, e := range t.entries {
		if want[e.hash%DigestBuckets] {
			out = append(out, e.m)
		}
	}
	slices.SortFunc(out, byInstance)
	return out
}
