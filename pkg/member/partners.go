package member

import "slices"

// ring holds this node's neighbours on one hash ring of the members that are not
// dead. It is updated with each change, because a search visits all of up to 1,400
// members and a failure domain that restarts causes hundreds of changes at once.
type ring struct {
	salt       uint64
	next, prev *entry
	stale      bool // a neighbour left the ring; search again
}

func newRings() []ring {
	rings := make([]ring, Rings)
	for i := range rings {
		rings[i].salt = mix(uint64(i) + 1)
	}
	return rings
}

// add makes a member a neighbour of this node if it is nearer than the current one.
// Unsigned subtraction gives the distance along the ring.
func (r *ring) add(own uint64, e *entry) {
	from, at := mix(own^r.salt), mix(e.hash^r.salt)
	if r.next == nil || at-from < mix(r.next.hash^r.salt)-from {
		r.next = e
	}
	if r.prev == nil || from-at < from-mix(r.prev.hash^r.salt) {
		r.prev = e
	}
}

// addToRings and removeFromRings update the rings when a member becomes live or ceases
// to be.
func (t *Table) addToRings(e *entry) {
	for i := range t.rings {
		t.rings[i].add(t.selfHash, e)
	}
}

func (t *Table) removeFromRings(e *entry) {
	for i := range t.rings {
		r := &t.rings[i]
		r.stale = r.stale || r.next == e || r.prev == e
	}
}

// currentRings returns the rings, after a new search for neighbours on stale ones.
func (t *Table) currentRings() []ring {
	for i := range t.rings {
		r := &t.rings[i]
		if !r.stale {
			continue
		}
		r.next, r.prev, r.stale = nil, nil, false
		for _, e := range t.entries {
			if e.live() {
				r.add(t.selfHash, e)
			}
		}
	}
	return t.rings
}

// Partners returns the instances to which this node keeps connections, by name: its
// successor and predecessor on each of Rings hash rings of the members that are not
// dead. On each ring every member is the successor of one other, so probes reach all
// members evenly. A member that is a neighbour on several rings is listed once.
func (t *Table) Partners() []string {
	if t.partnersVersion != t.liveVersion {
		t.partners = neighbourNames(t.currentRings(), true)
		t.partnersVersion = t.liveVersion
	}
	return t.partners
}

// Successors returns the instances that this node probes, by name: its successors on
// the rings. This node in turn is probed by its predecessors.
func (t *Table) Successors() []string { return neighbourNames(t.currentRings(), false) }

// neighbourNames returns the successors on the rings by name, with the predecessors if
// both is set.
func neighbourNames(rings []ring, both bool) []string {
	var out []string
	for _, r := range rings {
		if r.next != nil {
			out = append(out, r.next.m.Instance)
		}
		if both && r.prev != nil {
			out = append(out, r.prev.m.Instance)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
