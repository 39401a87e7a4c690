package freshness

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxUnconfirmed limits the observations that wait for rows or for their application. A node makes
// a few per second, and they are useless after the lease.
const maxUnconfirmed = 32

// maxAsked limits the questions whose answers are accepted. A node asks a few peers at a time,
// at most some five times a second.
const maxAsked = 64

// Copy is the state of the node's copy of the table.
type Copy struct {
	// Version is the version up to which the copy is complete. Versions are ordered, and mean
	// nothing else here.
	Version uint64
	// Changes counts the changes of the copy's rows. Unlike the version, it stays the same while
	// there is nothing to apply.
	Changes uint64
}

// observation is the statement that the table had no changes after version at the time at.
type observation struct {
	at      time.Duration
	version uint64
	// copied means that the node's copy is complete up to version. It is then applied once the
	// first changes changes of the copy are.
	copied  bool
	changes uint64
}

// Tracker holds when the node's copy of the table was last known to be current and applied. It is
// safe for concurrent use; mu guards the fields below it. Fresh takes no lock.
type Tracker struct {
	clock func() time.Duration
	lease time.Duration
	// until is the clock's time until which the copy counts as fresh; 0 if it never did.
	until atomic.Int64

	mu          sync.Mutex
	version     uint64 // of the observation that until comes from
	unconfirmed []observation
	applied     uint64 // changes of the copy that are applied
	number      uint64 // of the last question
	asked       map[uint64]time.Duration
}

// NewTracker returns a Tracker without any observation. The clock must not stop while the
// instance is frozen, and its times must be above zero.
func NewTracker(lease time.Duration, clock func() time.Duration) *Tracker {
	return &Tracker{clock: clock, lease: lease, asked: make(map[uint64]time.Duration)}
}

// Fresh reports whether the applied copy was current less than the lease ago.
func (t *Tracker) Fresh() bool {
	until := t.until.Load()
	return until != 0 && int64(t.clock()) < until
}

// Remaining returns for how long the copy will stay fresh; 0 if it is not.
func (t *Tracker) Remaining() time.Duration {
	until := t.until.Load()
	if until == 0 {
		return 0
	}
	return max(time.Duration(until)-t.clock(), 0)
}

// Until returns the clock's time until which the copy is fresh; 0 if it never was.
func (t *Tracker) Until() time.Duration { return time.Duration(t.until.Load()) }

// Now returns the time of the clock, for Read.
func (t *Tracker) Now() time.Duration { return t.clock() }

// Read records that the store has answered a read of the table that was sent at the given time,
// and that the copy is complete up to the version of the answer.
func (t *Tracker) Read(sentAt time.Duration, version uint64, c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(observation{at: sentAt, version: version}, c)
}

// Ask returns the number of a question that is about to be sent to peers.
func (t *Tracker) Ask() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	t.asked[t.number] = t.clock()
	delete(t.asked, t.number-maxAsked)
	return t.number
}

// Answer records a peer's answer to a question: the table had no changes after version at the
// given age before the answer. The time of asking is used instead of the unknown time at which
// the peer answered, so that a delay of the messages makes the result older and never newer.
func (t *Tracker) Answer(number, version uint64, age time.Duration, c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sentAt, ok := t.asked[number]
	if !ok || age < 0 || age >= t.lease {
		return
	}
	t.observe(observation{at: sentAt - age, version: version}, c)
}

// Copied records the state of the copy after rows were added to it.
func (t *Tracker) Copied(c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(c)
}

// Applied records that the first changes changes of the copy are applied. A row that is rejected
// because it is malformed counts as applied: the earlier one stays in force.
func (t *Tracker) Applied(changes uint64, c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applied = max(t.applied, changes)
	t.settle(c)
}

// Report returns what the node can answer a peer: the newest observation that its applied copy
// covers, as a version and an age. The last result is false unless the copy is fresh.
func (t *Tracker) Report() (version uint64, age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := time.Duration(t.until.Load())
	age = t.clock() - (until - t.lease)
	return t.version, age, until != 0 && age < t.lease
}

// observe adds an observation and confirms those that the applied copy covers.
func (t *Tracker) observe(o observation, c Copy) {
	if len(t.unconfirmed) == maxUnconfirmed {
		t.unconfirmed = append(t.unconfirmed[:0], t.unconfirmed[1:]...)
	}
	t.unconfirmed = append(t.unconfirmed, o)
	t.settle(c)
}

// settle confirms the observations that the applied copy covers, and drops those that could not
// extend the time until which the copy is fresh.
func (t *Tracker) settle(c Copy) {
	for i := range t.unconfirmed {
		o := &t.unconfirmed[i]
		if !o.copied && c.Version >= o.version {
			o.copied, o.changes = true, c.Changes
		}
		if o.copied && t.applied >= o.changes {
			t.confirm(*o)
		}
	}
	now, kept := t.clock(), t.unconfirmed[:0]
	for _, o := range t.unconfirmed {
		if until := o.at + t.lease; int64(until) > t.until.Load() && until > now {
			kept = append(kept, o)
		}
	}
	t.unconfirmed = kept
}

func (t *Tracker) confirm(o observation) {
	if until := int64(o.at + t.lease); until > t.until.Load() {
		t.until.Store(until)
		t.version = o.version
	}
}
