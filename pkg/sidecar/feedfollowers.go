package sidecar

import (
	"hash/fnv"
	"sync"
	"time"
)

// follower describes a node as a candidate for following the store's feeds.
type follower struct {
	name               string
	failureDomain      string
	linkBytesPerSecond float64
	// reportedAt is when the node last reported that it follows the feeds; zero if
	// its last report said that it does not.
	reportedAt time.Time
}

// preferredTo reports whether f ranks above g. Nodes with faster network links rank
// higher, because followers forward rows to the other nodes. Ties are broken by a hash
// of the name, so that all nodes agree.
func (f follower) preferredTo(g follower) bool {
	if f.linkBytesPerSecond != g.linkBytesPerSecond {
		return f.linkBytesPerSecond > g.linkBytesPerSecond
	}
	return rankHash(f.name) < rankHash(g.name)
}

func rankHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // hash.Hash documents that Write never fails
	return h.Sum64()
}

// followerElection decides whether this node follows the store's feeds. Only a few nodes
// of each failure domain follow them, because calls to the store are billed and its rate
// limits are shared; the other nodes receive rows from these followers. It is safe for
// concurrent use.
type followerElection struct {
	self follower

	mu     sync.Mutex
	others map[string]follower // by node name; linked nodes only, guarded by mu
	// shortSince is when this node first saw that too few nodes ahead of it follow the
	// feeds; zero while enough do. Guarded by mu.
	shortSince time.Time
}

func newFollowerElection(self follower) *followerElection {
	return &followerElection{self: self, others: make(map[string]follower)}
}

// update stores the latest report of a linked node.
func (e *followerElection) update(f follower) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.others[f.name] = f
}

// remove deletes a node whose link has closed.
func (e *followerElection) remove(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.others, name)
}

// following returns the linked nodes that follow the feeds.
func (e *followerElection) following(now time.Time) map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]bool)
	for name, f := range e.others {
		if now.Sub(f.reportedAt) < followerExpiry {
			out[name] = true
		}
	}
	return out
}

// elected reports whether this node has to follow the feeds. The preferred nodes always
// do. The others are substitutes while too few nodes of their failure domain ahead of them
// report that they follow, one after the other: if the store is down for all, only few
// call it in vain.
func (e *followerElection) elected(now time.Time) bool {
	following := e.countAhead(func(f follower) bool { return now.Sub(f.reportedAt) < followerExpiry })
	rank := e.countAhead(func(follower) bool { return true })
	wanted := e.wanted(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if following >= wanted {
		e.shortSince = time.Time{}
		return false
	}
	if e.shortSince.IsZero() {
		e.shortSince = now
	}
	return now.Sub(e.shortSince) >= time.Duration(max(rank-wanted+1, 0))*substituteDelay
}

// preferred reports whether this node follows the feeds while all nodes are healthy.
// Other nodes retry a failing store less often.
func (e *followerElection) preferred(now time.Time) bool {
	return e.countAhead(func(follower) bool { return true }) < e.wanted(now)
}

// wanted returns how many nodes of this node's failure domain follow the feeds. One is enough
// while enough other domains have followers, which also announce changes to this one.
func (e *followerElection) wanted(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	domains := map[string]bool{e.self.failureDomain: true}
	for _, f := range e.others {
		if now.Sub(f.reportedAt) < followerExpiry {
			domains[f.failureDomain] = true
		}
	}
	if len(domains) >= singleFollowerDomains {
		return 1
	}
	return followersPerDomain
}

func (e *followerElection) countAhead(counts func(follower) bool) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, f := range e.others {
		if f.failureDomain == e.self.failureDomain && f.preferredTo(e.self) && counts(f) {
			n++
		}
	}
	return n
}
