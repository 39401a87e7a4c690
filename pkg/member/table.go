package member

import (
	"math/rand/v2"
	"time"
)

// Table is one node's view of the members. It is owned by one goroutine.
type Table struct {
	self     Member
	selfHash uint64
	joined   bool
	entries  map[string]*entry
	suspects map[string]*entry // members whose suspicion timeout runs
	live     int               // other members that are not dead
	// regions counts the live members of each region, including this node.
	regions         map[string]int
	buckets         [DigestBuckets]uint64
	version         uint64
	rings           []ring
	partners        []string // valid if partnersVersion == liveVersion
	liveVersion     uint64
	partnersVersion uint64
	rnd             *rand.Rand
}

// NewTable returns a table that contains only this node's record.
func NewTable(self Member, rnd *rand.Rand) *Table {
	t := &Table{
		self: self, selfHash: nameHash(self.Instance), rnd: rnd, liveVersion: 1, rings: newRings(),
		entries: map[string]*entry{}, suspects: map[string]*entry{}, regions: map[string]int{self.Region: 1},
	}
	t.toggleDigest(t.selfHash, &t.self)
	return t
}

// Self returns this node's own record.
func (t *Table) Self() Member { return t.self }

// Version changes whenever a record of the table changes.
func (t *Table) Version() uint64 { return t.version }

// LiveVersion changes whenever the set of members that are not dead changes, and whenever
// one of them starts to leave or changes its incarnation, region or failure domain.
func (t *Table) LiveVersion() uint64 { return t.liveVersion }

// Live is the number of members that are not dead, including this node.
func (t *Table) Live() int { return t.live + 1 }

// Get returns the record of an instance.
func (t *Table) Get(instance string) (Member, bool) {
	if instance == t.self.Instance {
		return t.self, true
	}
	if e, ok := t.entries[instance]; ok {
		return e.m, true
	}
	return Member{}, false
}

// toggleDigest adds or removes the contribution of a record to the digest.
func (t *Table) toggleDigest(hash uint64, m *Member) {
	if m.State != Dead {
		t.buckets[hash%DigestBuckets] ^= versionHash(hash, m)
	}
}

// UpdateSelf changes this node's own record and raises its sequence.
func (t *Table) UpdateSelf(change func(*Member)) Member {
	t.toggleDigest(t.selfHash, &t.self)
	before := t.self
	change(&t.self)
	t.self.Instance = before.Instance
	t.self.Sequence = max(before.Sequence+1, t.self.Sequence)
	t.toggleDigest(t.selfHash, &t.self)
	t.version++
	return t.self
}

// InForce returns the revision in force at an instance, or 0.
func (t *Table) InForce(instance string) uint64 {
	if instance == t.self.Instance {
		return t.self.InForce
	}
	if e, ok := t.entries[instance]; ok {
		return e.m.InForce
	}
	return 0
}

// SetInForce records the revision in force at an instance; a lower one than recorded is
// ignored. It does not raise the sequence, because nodes exchange the revisions in
// force in a compact form besides the records.
func (t *Table) SetInForce(instance string, revision uint64) {
	m := &t.self
	if instance != t.self.Instance {
		e, ok := t.entries[instance]
		if !ok {
			return
		}
		m = &e.m
	}
	if revision > m.InForce {
		m.InForce = revision
		t.version++
	}
}

// Merge stores an update that supersedes the known record of its instance. A dead
// record of an unknown instance is ignored; otherwise nodes would keep returning
// expired tombstones to each other.
func (t *Table) Merge(now time.Time, m Member) Change {
	if m.Instance == "" || m.State > Dead {
		return Ignored
	}
	if m.Instance == t.self.Instance {
		return t.mergeSelf(m)
	}
	e, known := t.entries[m.Instance]
	if !known {
		if m.State == Dead || m.isBrief() {
			return Ignored
		}
		t.insert(now, m)
		return Applied
	}
	if m.isBrief() {
		// A later process may have another address, which a brief record lacks.
		if m.Incarnation != e.m.Incarnation && m.State != Dead {
			return Ignored
		}
		m = m.withDescription(e.m)
	}
	if m.Incarnation == e.m.Incarnation {
		m.InForce = max(m.InForce, e.m.InForce)
	}
	if !Supersedes(m, e.m) {
		if m.Incarnation == e.m.Incarnation {
			t.SetInForce(m.Instance, m.InForce)
		}
		return Ignored
	}
	t.replace(now, e, m)
	return Applied
}

// mergeSelf handles an update about this node's own instance.
func (t *Table) mergeSelf(m Member) Change {
	s := t.self
	switch {
	case m.Incarnation > s.Incarnation:
		if m.isBrief() && m.State != Dead {
			return Ignored // only the full record has the address of the process
		}
		if t.joined && m.State != Dead && m.ControlAddr != s.ControlAddr {
			return Superseded
		}
		t.UpdateSelf(func(o *Member) { o.Incarnation = m.Incarnation + 1; o.Sequence = 0 })
		return Refuted
	case m.Incarnation == s.Incarnation && Supersedes(m, s):
		t.UpdateSelf(func(o *Member) { o.Sequence = m.Sequence + 1 })
		return Refuted
	}
	return Ignored
}

// SetJoined ends the joining phase of this node. Before it, a record of its instance
// with a later incarnation is taken to be that of an earlier process whose clock was
// ahead, and this node raises its incarnation above it. Afterwards such a record with
// another address means that a second live process supersedes this one.
func (t *Table) SetJoined() { t.joined = true }

// Joined reports whether the joining phase of this node has ended.
func (t *Table) Joined() bool { return t.joined }

// Restore adds the record of a dead member from a full-state transfer, with the time
// since its death.
func (t *Table) Restore(now time.Time, m Member, deadFor time.Duration) {
	if _, known := t.entries[m.Instance]; known || m.Instance == t.self.Instance || m.State != Dead {
		return
	}
	t.insert(now.Add(-deadFor), m)
}

func (t *Table) insert(now time.Time, m Member) {
	e := &entry{m: m, hash: nameHash(m.Instance), since: now}
	t.entries[m.Instance] = e
	t.countLive(e, 1)
	t.toggleDigest(e.hash, &e.m)
	t.updateTimeout(now, e)
	t.version++
}

func (t *Table) replace(now time.Time, e *entry, m Member) {
	t.toggleDigest(e.hash, &e.m)
	// LiveVersion changes with the liveness, process, region or failure domain of a
	// member and when it starts to leave, but not when it becomes suspect.
	same := e.live() && m.State != Dead && e.m.Incarnation == m.Incarnation && e.m.Region == m.Region &&
		(e.m.State == Leaving) == (m.State == Leaving) && e.m.FailureDomain == m.FailureDomain
	if !same {
		t.countLive(e, -1)
	}
	if e.m.State != m.State || e.m.Incarnation != m.Incarnation {
		e.since = now
	}
	e.m = m
	if !same {
		t.countLive(e, 1)
	}
	t.toggleDigest(e.hash, &e.m)
	t.updateTimeout(now, e)
	t.version++
}

// countLive adds a live member (by = 1) to the counts and the rings, or removes it
// (by = -1).
func (t *Table) countLive(e *entry, by int) {
	if !e.live() {
		return
	}
	t.live += by
	t.regions[e.m.Region] += by
	t.liveVersion++
	if by > 0 {
		t.addToRings(e)
	} else {
		t.removeFromRings(e)
	}
}

// updateTimeout starts or ends the suspicion timeout of a member according to its state.
func (t *Table) updateTimeout(now time.Time, e *entry) {
	if e.m.State == Suspect {
		e.expires = now.Add(SuspicionTimeout(t.Live()))
		t.suspects[e.m.Instance] = e
		return
	}
	e.expires = time.Time{}
	delete(t.suspects, e.m.Instance)
}

// Suspect records that a probe of a member failed and returns the update to spread, if
// there is one. A leaving member keeps its state but is declared dead after the same
// timeout.
func (t *Table) Suspect(now time.Time, instance string, incarnation uint64) (Member, bool) {
	e, ok := t.entries[instance]
	if !ok || e.m.Incarnation != incarnation || !e.expires.IsZero() {
		return Member{}, false
	}
	switch e.m.State {
	case Alive:
		m := e.m
		m.State = Suspect
		t.replace(now, e, m)
		return m, true
	case Leaving:
		e.expires = now.Add(SuspicionTimeout(t.Live()))
		t.suspects[instance] = e
	}
	return Member{}, false
}

// MessageReceived records a message from a member. A leaving member that still sends
// messages is not declared dead.
func (t *Table) MessageReceived(instance string) {
	if e, ok := t.entries[instance]; ok && e.m.State == Leaving {
		e.expires = time.Time{}
		delete(t.suspects, instance)
	}
}
