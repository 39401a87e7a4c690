package member

import (
	"cmp"
	"slices"
	"time"
)

// Expire declares members dead whose suspicion timeout has passed and returns their
// records.
func (t *Table) Expire(now time.Time) []Member {
	var dead []Member
	for _, e := range t.suspects {
		if !now.Before(e.expires) {
			m := e.m
			m.State = Dead
			dead = append(dead, m)
		}
	}
	slices.SortFunc(dead, byInstance)
	for _, m := range dead {
		t.replace(now, t.entries[m.Instance], m)
	}
	return dead
}

func byInstance(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) }

// Postpone extends all suspicion timeouts by the time for which this process was
// paused, because it has not yet read the refutations of that time.
func (t *Table) Postpone(by time.Duration) {
	for _, e := range t.suspects {
		e.expires = e.expires.Add(by)
	}
}

// RemoveTombstones removes members that have been dead for TombstoneTTL. Members of a
// region without any live member are kept for RegionTombstoneTTL, because the region
// may be unreachable rather than dead.
func (t *Table) RemoveTombstones(now time.Time) {
	for name, e := range t.entries {
		if e.live() {
			continue
		}
		ttl := TombstoneTTL
		if t.regions[e.m.Region] == 0 {
			ttl = RegionTombstoneTTL
		}
		if now.Sub(e.since) > ttl {
			delete(t.entries, name)
			t.version++
		}
	}
}

// Tombstones returns the dead members by instance name and, for each, the time since
// its death.
func (t *Table) Tombstones(now time.Time) ([]Member, []time.Duration) {
	var dead []Member
	for _, e := range t.entries {
		if !e.live() {
			dead = append(dead, e.m)
		}
	}
	slices.SortFunc(dead, byInstance)
	ages := make([]time.Duration, len(dead))
	for i, m := range dead {
		ages[i] = now.Sub(t.entries[m.Instance].since)
	}
	return dead, ages
}

// RandomDead returns a random dead member, preferably of a region without live members.
func (t *Table) RandomDead() (Member, bool) {
	var dead, unreachable []Member
	for _, e := range t.entries {
		if e.live() {
			continue
		}
		dead = append(dead, e.m)
		if t.regions[e.m.Region] == 0 {
			unreachable = append(unreachable, e.m)
		}
	}
	if len(unreachable) > 0 {
		dead = unreachable
	}
	if len(dead) == 0 {
		return Member{}, false
	}
	slices.SortFunc(dead, byInstance)
	return dead[t.rnd.IntN(len(dead))], true
}
