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
}

func newFollowerElection(self follower) *followerElection {
	return &followerElection{self: self, others: make(map[string]follower)}
}

// update stores the latest report of a linked node.
func (d *followerElection) update(f follower) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others[f.name] = f
}

// remove deletes a node whose link has closed.
func (d *followerElection) remove(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.others, name)
}

// elected reports whether this node has to follow the feeds: fewer than
// followersPerDomain nodes that rank above it report that they follow them.
func (d *followerElection) elected(now time.Time) bool {
	return d.countAhead(func(f follower) bool { return now.Sub(f.reportedAt) < followerExpiry }) < followersPerDomain
}

// preferred reports whether this node follows the feeds while all nodes are healthy.
// Other nodes retry a failing store less often.
func (d *followerElection) preferred() bool {
	return d.countAhead(func(follower) bool { return true }) < followersPerDomain
}

func (d *followerElection) countAhead(counts func(follower) bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, f := range d.others {
		if f.failureDomain == d.self.failureDomain && f.preferredTo(d.self) && counts(f) {
			n++
		}
	}
	return n
}
