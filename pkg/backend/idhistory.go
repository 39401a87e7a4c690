package backend

import (
	"hash/maphash"
	"slices"
)

var idSeed = maphash.MakeSeed()

// idHistory is the set of the request ids that a connection has carried, each with the digest of the
// response. It keeps hashes, so it may claim to contain an id that it does not, but never the
// reverse.
type idHistory struct{ exchanges []pastExchange }

type pastExchange struct {
	id       uint64 // hash
	response uint64 // digest, 0 while there is none
}

func (h *idHistory) add(id string) {
	h.exchanges = append(h.exchanges, pastExchange{id: maphash.String(idSeed, id)})
}

// setResponse records the response to the request that was added last.
func (h *idHistory) setResponse(digest uint64) { h.exchanges[len(h.exchanges)-1].response = digest }

func (h *idHistory) contains(id string) bool {
	hash := maphash.String(idSeed, id)
	return slices.ContainsFunc(h.exchanges, func(x pastExchange) bool { return x.id == hash })
}

// isCopy reports whether a response with the id and the digest has been received before.
func (h *idHistory) isCopy(id string, digest uint64) bool {
	return slices.Contains(h.exchanges, pastExchange{maphash.String(idSeed, id), digest})
}

// full reports whether no further id should be added, so that the set stays small.
func (h *idHistory) full() bool { return len(h.exchanges) >= maxRequestsPerConnection }

func (h *idHistory) len() int { return len(h.exchanges) }
