package backend

import (
	"hash/maphash"
	"slices"
)

var idSeed = maphash.MakeSeed()

// idHistory is the set of the request ids that a connection has carried. It keeps hashes, so
// it may claim to contain an id that it does not, but never the reverse.
type idHistory struct{ hashes []uint64 }

func (h *idHistory) add(id string) { h.hashes = append(h.hashes, maphash.String(idSeed, id)) }

func (h *idHistory) contains(id string) bool {
	return slices.Contains(h.hashes, maphash.String(idSeed, id))
}

// full reports whether no further id should be added, so that the set stays small.
func (h *idHistory) full() bool { return len(h.hashes) >= maxRequestsPerConnection }

func (h *idHistory) len() int { return len(h.hashes) }
