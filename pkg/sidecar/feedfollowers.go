package sidecar

import (
	"hash/fnv"
	"sync"
	"time"
)

// follower is a node as it counts for the duty to follow the store's feeds.
type follower struct {
	name               string
	failureDomain      string
	linkBytesPerSecond float64
	// saidAt is when it last said that it follows the feeds; zero if it does not.
	saidAt time.Time
}

// before reports whether f goes before g. Nodes with fast links go first, since they
// pass rows on to the others.
func (f follower) before(g follower) bool {
	if f.linkBytesPerSecond != g.linkBytesPerSecond {
		return f.linkBytesPerSecond > g.linkBytesPerSecond
	}
	return rankHash(f.name) < rankHash(g.name)
}

func rankHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}

// followDuty decides whether this node follows the store's feeds. A few nodes of each
// failure domain follow them for all, since calls to the store are charged and its
// rates are shared; the others take rows from these. It is safe for concurrent use;
// mu guards the state.
type followDuty struct {
	self follower

	mu     sync.Mutex
	others map[string]follower // nodes with a link
}

func newFollowDuty(self follower) *followDuty {
	return &followDuty{self: self, others: make(map[string]follower)}
}

// heard records what a linked node says of itself.
func (d *followDuty) heard(f follower) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others[f.name] = f
}

// lost forgets a node whose link has ended.
func (d *followDuty) lost(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.others, name)
}

// mine reports whether this node has to follow the feeds: fewer nodes than wanted
// that go before it follow them.
func (d *followDuty) mine(now time.Time) bool {
	return d.ahead(func(f follower) bool { return now.Sub(f.saidAt) < followerExpiry }) < followersPerDomain
}

// first reports whether this node is one that usually follows the feeds. The others
// call a store that fails more rarely.
func (d *followDuty) first() bool {
	return d.ahead(func(follower) bool { return true }) < followersPerDomain
}

func (d *followDuty) ahead(counts func(follower) bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, f := range d.others {
		if f.failureDomain == d.self.failureDomain && f.before(d.self) && counts(f) {
			n++
		}
	}
	return n
}
