package gossip

import (
	"bytes"
	"hash/fnv"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// progressState is the state of the exchange of which members have the held revision in
// force. A bit per member takes 175 B at 1,400 members, where a record per member and
// revision would take 200 KB per node and change.
type progressState struct {
	until        time.Time
	order        []string // live members by name, as of orderVersion
	set          uint64   // hash over order and incarnations
	orderVersion uint64
}

// restart starts the exchange anew, for a newly held revision or new information.
func (p *progressState) restart(now time.Time) { p.until = now.Add(ProgressTimeout) }

// refresh recomputes the order after a change of the live members.
func (p *progressState) refresh(t *member.Table) {
	if p.orderVersion == t.LiveVersion() {
		return
	}
	p.orderVersion, p.order = t.LiveVersion(), p.order[:0]
	h := fnv.New64a()
	for _, m := range t.Members() {
		if m.State == member.Dead {
			continue
		}
		p.order = append(p.order, m.Instance)
		_, _ = h.Write([]byte(m.Instance))
		var inc [9]byte
		for i := range 8 {
			inc[i+1] = byte(m.Incarnation >> (8 * i))
		}
		_, _ = h.Write(inc[:])
	}
	p.set = h.Sum64()
}

// progressPart returns the progress known to this node, or nil once all members have the
// held revision in force or there was no new information for ProgressTimeout. With always
// set, for a response to another node, it returns the progress in any case unless no
// revision is held.
func (s *State) progressPart(now time.Time, always bool) *Progress {
	if s.store.held.Revision == 0 || !always && now.After(s.progress.until) {
		return nil
	}
	s.progress.refresh(s.table)
	part := &Progress{
		Revision: s.store.held.Revision, Set: s.progress.set,
		Bits: make([]byte, (len(s.progress.order)+7)/8),
	}
	missing := false
	for i, name := range s.progress.order {
		if s.table.InForce(name) >= part.Revision {
			part.Bits[i/8] |= 1 << (i % 8)
		} else {
			missing = true
		}
	}
	if !missing && !always {
		return nil
	}
	return part
}

func equalProgress(a, b *Progress) bool {
	return a.Revision == b.Revision && a.Set == b.Set && bytes.Equal(a.Bits, b.Bits)
}

// mergeProgress merges the progress known to a node with the same set of live members.
func (s *State) mergeProgress(now time.Time, p *Progress) {
	s.progress.refresh(s.table)
	if p.Set != s.progress.set || len(p.Bits) != (len(s.progress.order)+7)/8 {
		return
	}
	self := s.table.Self().Instance
	for i, name := range s.progress.order {
		if p.Bits[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		if s.table.InForce(name) < p.Revision && name != self {
			s.table.SetInForce(name, p.Revision)
			s.progress.restart(now)
		}
	}
}
