package gossip

import (
	"bytes"
	"maps"
	"slices"

	"corianderwood.example/corianderwood/pkg/config"
)

// store holds the newest complete head, its bodies, and possibly a newer head of which
// bodies are still missing.
type store struct {
	held       config.Head
	heldDigest []byte
	bodies     map[string][]byte
	pending    *config.Head
	// changedAt is, per section, the first revision held by this node with the current
	// reference of the section; removedAt is the first one without a removed section.
	// Differences from revisions before first are not known.
	changedAt, removedAt map[string]uint64
	first                uint64
}

func newStore() store {
	return store{bodies: map[string][]byte{}, changedAt: map[string]uint64{}, removedAt: map[string]uint64{}}
}

// newest returns the revision of the pending head, or else of the held head.
func (st *store) newest() uint64 {
	if st.pending != nil {
		return st.pending.Revision
	}
	return st.held.Revision
}

// addBody stores a body that the held or the pending head references. It reports false
// for other bodies and too large ones.
func (st *store) addBody(body []byte) bool {
	hash := hashBody(body)
	if len(body) > MaxBodyBytes || !st.references(hash) {
		return false
	}
	st.bodies[hash] = body
	return true
}

// references reports whether the pending head references a body or the body is held.
func (st *store) references(hash string) bool {
	if st.pending != nil {
		for _, ref := range st.pending.Sections {
			if ref.Hash == hash {
				return true
			}
		}
	}
	_, ok := st.bodies[hash]
	return ok
}

// setPending stores a newer head as pending. It reports whether the head is newer.
func (st *store) setPending(h config.Head) bool {
	if h.Revision <= st.newest() {
		return false
	}
	st.pending = &h
	return true
}

// missing returns the hashes of the pending head's bodies that are not held.
func (st *store) missing() []string {
	if st.pending == nil {
		return nil
	}
	return st.missingOf(*st.pending)
}

func (st *store) missingOf(h config.Head) []string {
	var out []string
	for _, ref := range h.Sections {
		if _, ok := st.bodies[ref.Hash]; !ok {
			out = append(out, ref.Hash)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// complete makes the pending head the held one if all its bodies are present, and reports
// whether it did.
func (st *store) complete() bool {
	if st.pending == nil || len(st.missing()) > 0 {
		return false
	}
	before, h := st.held, *st.pending
	st.held, st.pending, st.heldDigest = h, nil, HeadDigest(h)
	if st.first == 0 {
		st.first = h.Revision
	}
	used := map[string]bool{}
	for name, ref := range h.Sections {
		used[ref.Hash] = true
		if old, ok := before.Sections[name]; !ok || old != ref {
			st.changedAt[name] = h.Revision
		}
		delete(st.removedAt, name)
	}
	for name := range before.Sections {
		if _, ok := h.Sections[name]; !ok {
			st.removedAt[name] = h.Revision
			delete(st.changedAt, name)
		}
	}
	maps.DeleteFunc(st.bodies, func(hash string, _ []byte) bool { return !used[hash] })
	return true
}

// delta returns the difference of the held head from revision base and the bodies
// of the changed sections, up to limit bytes.
func (st *store) delta(base uint64, limit int) (Delta, [][]byte) {
	d := Delta{Base: base, Revision: st.held.Revision, Digest: st.heldDigest, Sections: map[string]config.SectionRef{}}
	d.Full = base == 0 || base < st.first
	if d.Full {
		d.Base = 0
	}
	hashes := map[string]bool{}
	for name, ref := range st.held.Sections {
		if d.Full || st.changedAt[name] > base {
			d.Sections[name] = ref
			hashes[ref.Hash] = true
		}
	}
	if !d.Full {
		for name, at := range st.removedAt {
			if at > base {
				d.Removed = append(d.Removed, name)
			}
		}
		slices.Sort(d.Removed)
	}
	return d, st.bodiesOf(slices.Sorted(maps.Keys(hashes)), limit)
}

// bodiesOf returns the held bodies with the given hashes, up to limit bytes but at
// least one.
func (st *store) bodiesOf(hashes []string, limit int) [][]byte {
	var out [][]byte
	for _, hash := range hashes {
		body, ok := st.bodies[hash]
		if !ok {
			continue
		}
		if limit -= len(body); limit < 0 && len(out) > 0 {
			break
		}
		out = append(out, body)
	}
	return out
}

// apply returns the head that a delta describes. It reports false if the delta is not
// full and does not start from the held head, or if its digest does not match.
func (st *store) apply(d Delta) (config.Head, bool) {
	h := config.Head{Revision: d.Revision, Sections: map[string]config.SectionRef{}}
	if !d.Full {
		if d.Base != st.held.Revision {
			return h, false
		}
		maps.Copy(h.Sections, st.held.Sections)
		for _, name := range d.Removed {
			delete(h.Sections, name)
		}
	}
	maps.Copy(h.Sections, d.Sections)
	return h, bytes.Equal(HeadDigest(h), d.Digest)
}

// revision returns the held head with its bodies.
func (st *store) revision() Revision {
	r := Revision{Head: st.held, Bodies: make(map[string][]byte, len(st.held.Sections))}
	for _, ref := range st.held.Sections {
		r.Bodies[ref.Hash] = st.bodies[ref.Hash]
	}
	return r
}
