package gossip

import (
	"maps"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/member"
)

// pendingAck is a peer that waits for a Held message until this node holds a revision.
type pendingAck struct {
	addr     string
	revision uint64
}

// publication is a published revision that waits for acknowledgements from other failure
// domains.
type publication struct {
	revision uint64
	base     uint64
	domains  map[string]string // acknowledging instance by failure domain
	asked    map[string]bool
	next     time.Time
	deadline time.Time
	done     func(ackedBy []string)
}

// Publish stores a head that this node committed, with its new bodies by hash, and sends
// it to peers in other failure domains. done is called once with the instances that
// acknowledged, one per failure domain: after PublishTimeout, or earlier if PublishDomains
// failure domains, or all others if there are fewer, have acknowledged.
func (s *State) Publish(now time.Time, h config.Head, bodies map[string][]byte, done func(ackedBy []string)) []Packet {
	base := s.store.held.Revision
	s.Offer(now, h, bodies)
	p := &publication{
		revision: h.Revision, base: base, domains: map[string]string{}, asked: map[string]bool{},
		next: now, deadline: now.Add(PublishTimeout), done: done,
	}
	s.publications = append(s.publications, p)
	s.tickPublish(now)
	s.flush(now)
	return s.takePackets()
}

// tickPublish sends publications to further peers and ends those that are acknowledged or
// timed out.
func (s *State) tickPublish(now time.Time) {
	s.publications = slices.DeleteFunc(s.publications, func(p *publication) bool {
		outside := s.otherDomains()
		if len(p.domains) >= min(PublishDomains, len(outside)) || !now.Before(p.deadline) {
			p.done(slices.Sorted(maps.Values(p.domains)))
			return true
		}
		if !now.Before(p.next) && s.store.held.Revision >= p.revision {
			p.next = now.Add(PublishRetryInterval)
			s.pushPublication(p, outside)
		}
		return false
	})
}

// otherDomains returns the members of other failure domains that are neither dead nor
// leaving, by domain.
func (s *State) otherDomains() map[string][]member.Member {
	own := s.table.Self().FailureDomain
	out := map[string][]member.Member{}
	for _, m := range s.table.Others() {
		if m.FailureDomain != own && m.State != member.Leaving {
			out[m.FailureDomain] = append(out[m.FailureDomain], m)
		}
	}
	return out
}

// pushPublication sends the revision to one more member of each failure domain that has
// not acknowledged it.
func (s *State) pushPublication(p *publication, outside map[string][]member.Member) {
	d, bodies := s.store.delta(p.base, MaxDeltaBytes)
	d.WantAck = true
	for _, domain := range slices.Sorted(maps.Keys(outside)) {
		if _, ok := p.domains[domain]; ok {
			continue
		}
		if m, ok := s.nextHolder(p, outside[domain]); ok {
			p.asked[m.Instance] = true
			s.send(m.ControlAddr, Message{Delta: &d, Bodies: bodies})
		}
	}
}

// nextHolder returns a random member of one failure domain, preferably one that is not
// suspected. Members that were asked before are left out until all of the domain were asked.
func (s *State) nextHolder(p *publication, list []member.Member) (member.Member, bool) {
	asked := 0
	for _, m := range list {
		if p.asked[m.Instance] {
			asked++
		}
	}
	best, found := member.Member{}, false
	for _, i := range s.rnd.Perm(len(list)) {
		m := list[i]
		if p.asked[m.Instance] && asked < len(list) {
			continue
		}
		if !found || best.State == member.Suspect && m.State == member.Alive {
			best, found = m, true
		}
	}
	return best, found
}

// onHeld records an acknowledgement.
func (s *State) onHeld(now time.Time, m *Message) {
	rec, ok := s.table.Get(m.From.Instance)
	if !ok || rec.FailureDomain == s.table.Self().FailureDomain {
		return
	}
	for _, p := range s.publications {
		if m.Held.Revision >= p.revision && p.domains[rec.FailureDomain] == "" {
			p.domains[rec.FailureDomain] = rec.Instance
		}
	}
	s.tickPublish(now)
}

// ackWhenHeld acknowledges a revision to a peer, now or once it is held.
func (s *State) ackWhenHeld(from Sender, revision uint64) {
	if s.store.held.Revision >= revision {
		s.send(from.Addr, Message{Held: &Held{Revision: s.store.held.Revision}})
		return
	}
	if _, ok := s.pendingAcks[from.Instance]; !ok && len(s.pendingAcks) >= MaxPendingAcks {
		s.countEvent("hold-limit")
		return
	}
	s.pendingAcks[from.Instance] = pendingAck{from.Addr, revision}
}

func (s *State) sendPendingAcks() {
	for _, name := range slices.Sorted(maps.Keys(s.pendingAcks)) {
		h := s.pendingAcks[name]
		if s.store.held.Revision >= h.revision {
			delete(s.pendingAcks, name)
			s.send(h.addr, Message{Held: &Held{Revision: s.store.held.Revision}})
		}
	}
}
