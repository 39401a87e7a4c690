package quota

import (
	"time"

	"corianderwood.example/corianderwood/pkg/account"
)

// ledger is the accounting of one stripe at its coordinator.
type ledger struct {
	stripe    int
	leases    map[string]Time   // until when the share of a node is leased, by node
	parts     map[string]uint64 // those shares, in units of 1/wholePart
	begun     Time              // time of the first report since there was no consumer
	counted   uint64            // shares whose leases outlast tokens granted now
	countedAt Time
	consumers map[Process]*consumer
	buckets   map[string]*bucket
}

func newLedger(stripe int) *ledger {
	return &ledger{stripe: stripe, leases: make(map[string]Time), parts: make(map[string]uint64), consumers: make(map[Process]*consumer), buckets: make(map[string]*bucket)}
}

// configure replaces the limits. Buckets and tokens of the earlier limits count on.
func (l *ledger) configure(now Time, coverage float64, accounts []*account.Account, b Bounds) {
	known := make(map[string]bool, len(accounts))
	for _, a := range accounts {
		known[a.Name] = true
		if old, ok := l.buckets[a.Name]; ok {
			old.advance(now, coverage)
			old.configure(*a, b, l.stripe)
			old.advance(now, coverage) // cuts the bucket to the new depth
			continue
		}
		l.buckets[a.Name] = newBucket(now, *a, b, l.stripe)
	}
	for name, old := range l.buckets {
		if !known[name] {
			old.remove() // its tokens may still be in use
		}
	}
}

// lease records until when a node's share is leased. Another share than before replaces it with its end.
func (l *ledger) lease(node string, until Time, part float64) {
	if units := partUnits(part); until > l.leases[node] || units != l.parts[node] {
		l.leases[node], l.parts[node] = until, units
	}
}

// partUnits returns a part of the limits, at most the whole, in units of 1/wholePart. Sums of units do not
// depend on their order, and are not above the sum of the parts.
func partUnits(part float64) uint64 { return uint64(min(max(part, 0), 1) * wholePart) }

// count counts the leases that outlast tokens granted before the next count. All buckets are
// advanced by the smaller of the two counts whenever it changes.
func (l *ledger) count(now Time, life time.Duration) {
	counted := uint64(0)
	needed := now.Add(life + countInterval)
	for node, until := range l.leases {
		switch {
		case until >= needed:
			counted += l.parts[node]
		case until < now:
			delete(l.leases, node)
			delete(l.parts, node)
		}
	}
	l.countedAt = now
	if counted == l.counted {
		return
	}
	least := coverage(min(counted, l.counted))
	for _, b := range l.buckets {
		b.advance(now, least)
	}
	l.counted = counted
}

// coverage returns counted shares as a part of all shares.
func coverage(counted uint64) float64 { return min(float64(counted)/wholePart, 1) }

// purge removes consumers that have not reported for a while, and buckets of removed accounts
// without tokens.
func (l *ledger) purge(now Time) {
	for p, c := range l.consumers {
		if now.Sub(c.reportedAt) > 2*MaxLease {
			delete(l.consumers, p)
		}
	}
	for name, b := range l.buckets {
		if !b.removed {
			continue
		}
		if b.purge(now); b.held == 0 {
			delete(l.buckets, name)
		}
	}
}
