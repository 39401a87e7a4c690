package gossip

import (
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// ownFloor is the lowest revision that this node may hand out, and its keepers.
type ownFloor struct {
	revision    uint64
	established bool
	keeping     []*keepFloor
	asking      []*askFloor

	keepers   []member.Member
	keepersAt uint64          // live version of keepers
	acked     map[string]bool // keepers that hold the revision in force
	ackedFor  uint64
	next      time.Time // next check of the keepers
	refresh   time.Time // next unconditional refresh
}

// establish raises the floor to a revision known to be accepted.
func (s *State) establish(revision uint64) {
	s.floor.established = true
	s.floor.revision = max(s.floor.revision, revision)
}

// SetMinRevision establishes the floor after a strongly consistent read of the head that
// began after this process started. Revision 0 means that there is no head.
func (s *State) SetMinRevision(revision uint64) { s.establish(revision) }

// MinRevision returns the floor and whether it is established.
func (s *State) MinRevision() (uint64, bool) { return s.floor.revision, s.floor.established }

// keeperRanking orders the members that may keep this node's floor, best first.
// Leaving members are left out: they take their floors with them.
func (s *State) keeperRanking() []member.Member {
	self := s.table.Self()
	others := slices.DeleteFunc(s.table.Others(), func(m member.Member) bool { return m.State == member.Leaving })
	return member.MinRevisionReplicas(self.Instance, self.FailureDomain, others)
}

func (s *State) onFloorPut(now time.Time, m *Message) {
	if m.MinRevisionPut.Instance != m.From.Instance {
		s.counts("floor-foreign")
		return
	}
	kept := s.floors.put(now, m.MinRevisionPut.Instance, m.MinRevisionPut.Revision)
	s.send(m.From.Addr, Message{MinRevisionStored: &MinRevision{Instance: m.From.Instance, Revision: kept}})
}

func (s *State) onFloorKept(m *Message) {
	if m.MinRevisionStored.Instance != s.table.Self().Instance {
		return
	}
	if m.MinRevisionStored.Revision >= s.floor.ackedFor && s.floor.acked != nil {
		s.floor.acked[m.From.Instance] = true
	}
	s.floor.keeping = slices.DeleteFunc(s.floor.keeping, func(k *keepFloor) bool {
		if m.MinRevisionStored.Revision < k.revision || !k.asked[m.From.Instance] {
			return false
		}
		k.kept[m.From.Instance] = true
		if len(k.kept) < k.need {
			return false
		}
		k.done(len(k.kept))
		return true
	})
}

func (s *State) onFloorAsk(m *Message) {
	kept, known := s.floors.byInstance[m.From.Instance]
	s.send(m.From.Addr, Message{MinRevisionReply: &MinRevisionReply{
		Nonce: m.MinRevisionQuery.Nonce, Known: known, Established: s.floor.established,
		Revision: max(kept.revision, s.store.held.Revision),
	}})
}

func (s *State) onFloorAnswer(m *Message) {
	s.floor.asking = slices.DeleteFunc(s.floor.asking, func(a *askFloor) bool {
		if a.nonce != m.MinRevisionReply.Nonce || !a.asked[m.From.Instance] {
			return false
		}
		a.answers[m.From.Instance] = *m.MinRevisionReply
		return len(a.answers) == len(a.asked) && s.tryEstablish(a)
	})
}

// tickFloor advances the floor operations and keeps the keepers up to date.
func (s *State) tickFloor(now time.Time) {
	s.tickKeep(now)
	s.tickAsk(now)
	s.tickKeepers(now)
}

// tickKeepers sends the revision in force to keepers that lack it: after a change of
// the members, after a lost message, and every FloorRefreshInterval.
func (s *State) tickKeepers(now time.Time) {
	f := &s.floor
	revision := s.table.Self().InForce
	if revision == 0 || now.Before(f.next) {
		return
	}
	f.next = now.Add(MinRevisionRoundTimeout)
	if f.keepersAt != s.table.LiveVersion() {
		ranking := s.keeperRanking()
		f.keepers, f.keepersAt = ranking[:min(MinRevisionReplicas, len(ranking))], s.table.LiveVersion()
	}
	if f.ackedFor != revision || !now.Before(f.refresh) {
		f.acked, f.ackedFor = map[string]bool{}, revision
		f.refresh = now.Add(MinRevisionRefreshInterval)
	}
	for _, k := range f.keepers {
		if !f.acked[k.Instance] {
			s.sendFloor(k, revision)
		}
	}
}

func (s *State) sendFloor(to member.Member, revision uint64) {
	s.send(to.ControlAddr, Message{MinRevisionPut: &MinRevision{Instance: s.table.Self().Instance, Revision: revision}})
}
