package shares

import (
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/quota"
)

// Knowledge is what one process of a node knows of the row. Versions order all rows, also across
// restores of the store. It is not safe for concurrent use.
type Knowledge struct {
	self   string
	timing Timing

	known   bool
	version uint64
	row     Row
	// limits holds the sets of members of which the node uses the smallest share; the first are the
	// members of the row. There is one once the epoch is settled.
	limits [][]string
	// learnedAt is when this process learned of the version, fullAt from when it uses the epoch's
	// share in full.
	learnedAt, fullAt quota.Time
	// storeAt is the latest time at which reads of the store, own or of peers, have shown the version to be
	// current; 0 if none has.
	storeAt quota.Time
	// readsStore means that this process has read the row, or that there was none, from the store. It
	// then knows all that earlier processes of the node knew.
	readsStore bool
	// confirmed holds when members were asked that then knew of no newer version, informed the members
	// of the previous epoch that know of the version. informedAt is when there were enough; 0 before.
	confirmed  map[string]quota.Time
	informed   map[string]bool
	informedAt quota.Time
	// answered holds the nodes that answer questions; askAll means that all should be asked whether
	// they do.
	answered map[string]bool
	askAll   bool
}

// New returns the state of a process that knows nothing.
func New(self string, t Timing) *Knowledge {
	return &Knowledge{self: self, timing: t, confirmed: make(map[string]quota.Time), answered: make(map[string]bool)}
}

// Row returns the newest row and its version; false if none is known.
func (k *Knowledge) Row() (Row, uint64, bool) { return k.row, k.version, k.known }

// Settled reports whether the share of the newest row is in full use.
func (k *Knowledge) Settled() bool { return k.known && len(k.limits) == 1 }

// Learn records a row. Older versions than the known one are ignored.
func (k *Knowledge) Learn(now quota.Time, version uint64, r Row) {
	if k.known && version <= k.version {
		return
	}
	limits := [][]string{r.Members}
	if len(r.Previous) > 0 {
		limits = append(limits, r.Previous)
	}
	if k.Settled() && r.Epoch <= k.row.Epoch && !slices.Equal(k.row.Members, r.Members) {
		// No restore that keeps the promised age of copies undoes a settled epoch.
		limits = append(limits, k.row.Members)
	}
	sameEpoch := k.Settled() && len(limits) == 1 && r.Epoch == k.row.Epoch
	k.known, k.version, k.row, k.limits = true, version, r, limits
	// What was known of the version before still holds: when it was current or members knew of nothing
	// newer, they knew of nothing newer than this one. It is older than learnedAt, so that it settles nothing.
	k.informed, k.informedAt, k.learnedAt = map[string]bool{}, 0, now
	if len(limits) == 1 && !sameEpoch {
		k.fullAt = now
	}
	k.inform(now, k.self)
}

// Read records that this process has read the row from the store, and learned of what it read; the read
// was sent at the given time. The version is 0 if there was no row.
func (k *Knowledge) Read(now, sentAt quota.Time, version uint64) {
	k.readsStore = true
	if k.known && version == k.version {
		k.current(now, sentAt)
	}
}

// State returns what the node tells others; false if it knows no row.
func (k *Knowledge) State(now quota.Time) (Statement, bool) {
	return Statement{Version: k.version, Current: k.storeAt > 0, Age: now.Sub(k.storeAt), Confirms: k.readsStore}, k.known
}

// Answer records what a node has answered to a question that was sent at the given time.
func (k *Knowledge) Answer(now, askedAt quota.Time, node string, s Statement) {
	if !k.known {
		return
	}
	k.answered[node] = true
	if s.Version >= k.version {
		k.inform(now, node)
	}
	if s.Confirms && s.Version <= k.version {
		k.confirmed[node] = max(k.confirmed[node], askedAt)
	}
	if s.Version == k.version && s.Current && s.Age >= 0 && s.Age < k.timing.Valid {
		k.current(now, askedAt.Add(-s.Age))
	}
	k.settle(now)
}

// current records that the version was current at a time according to the store.
func (k *Knowledge) current(now, at quota.Time) {
	k.storeAt = max(k.storeAt, min(at, now))
	k.settle(now)
}

// inform records that a node knows of the version.
func (k *Knowledge) inform(now quota.Time, node string) {
	if k.informedAt > 0 || !slices.Contains(k.row.Previous, node) {
		return
	}
	k.informed[node] = true
	if len(k.informed) >= informedQuorum(len(k.row.Previous)) {
		k.informedAt = now
	}
}

// settle ends the transition to the epoch when no node can use a share of the one before any more that
// it has not also in this one.
func (k *Knowledge) settle(now quota.Time) {
	if len(k.limits) == 1 || len(k.row.Previous) > 0 && k.informedAt == 0 {
		return
	}
	from := max(k.learnedAt, k.informedAt).Add(k.timing.Settle)
	// The store has kept the row for longer than the age of a copy that lacks it.
	if now >= from && k.storeAt >= from.Add(-k.timing.Valid) {
		k.limits, k.fullAt = k.limits[:1], now
	}
}

// Share returns the part of each limit that the node may use until the given time.
func (k *Knowledge) Share(now quota.Time) (float64, quota.Time) {
	if !k.known {
		return 0, now
	}
	until := k.validAt(now).Add(k.timing.Valid)
	if now >= until {
		return 0, now
	}
	share := part(k.limits[0], k.self)
	for _, members := range k.limits[1:] {
		share = min(share, part(members, k.self))
	}
	return share, until
}

// validAt returns the latest time at which no node used an epoch that this one does not know: shown by
// the store, or by members that an informed quorum of the epoch would have included.
func (k *Knowledge) validAt(now quota.Time) quota.Time {
	confirmed := now
	for _, members := range k.limits {
		confirmed = min(confirmed, k.confirmedAt(now, members))
	}
	return max(k.storeAt, confirmed)
}

func (k *Knowledge) confirmedAt(now quota.Time, members []string) quota.Time {
	var times []quota.Time
	for _, m := range members {
		switch at, ok := k.confirmed[m]; {
		case m == k.self && k.readsStore:
			times = append(times, now)
		case ok:
			times = append(times, at)
		}
	}
	needed := confirmingQuorum(len(members))
	if len(times) < needed {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-needed]
}

// Ask returns how many nodes should be asked now: none, one for the age of its knowledge, or all
// members of the row's sets.
func (k *Knowledge) Ask(now quota.Time) (one, all bool) {
	age := now.Sub(k.storeAt)
	switch {
	case !k.known || k.storeAt == 0 || age > k.timing.Valid/2:
		return true, true
	default:
		return age > askAge(k.timing.Valid), k.askAll || len(k.limits) > 1 && k.informedAt == 0
	}
}

// askAge is the age of the knowledge from which a peer is asked: a minute with the default timing.
func askAge(valid time.Duration) time.Duration { return valid / 10 }
