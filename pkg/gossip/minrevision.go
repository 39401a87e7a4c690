package gossip

import (
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// ownMinRevision is the lowest revision that this node may deliver, with the state of its
// copies at the replicas.
type ownMinRevision struct {
	revision     uint64
	established  bool
	replications []*minRevisionReplication
	queries      []*minRevisionQuery

	replicas        []member.Member
	replicasVersion uint64          // live version of replicas
	acked           map[string]bool // replicas that store ackedFor, the revision in force
	ackedFor        uint64
	next            time.Time // next check of the replicas
	refresh         time.Time // next unconditional refresh
}

// establish raises the minimum revision to a revision that is known to be accepted by the
// platform.
func (s *State) establish(revision uint64) {
	s.minRev.established = true
	s.minRev.revision = max(s.minRev.revision, revision)
}

// SetMinRevision establishes the minimum revision after a strongly consistent read of the
// head that began after this process started. Revision 0 means that there is no head.
func (s *State) SetMinRevision(revision uint64) { s.establish(revision) }

// MinRevision returns the minimum revision and whether it is established.
func (s *State) MinRevision() (uint64, bool) { return s.minRev.revision, s.minRev.established }

// replicaRanking orders the members that may store this node's minimum revision, best
// first. Leaving members are left out, because the minimum revisions that they store are
// lost with them.
func (s *State) replicaRanking() []member.Member {
	self := s.table.Self()
	others := slices.DeleteFunc(s.table.Others(), func(m member.Member) bool { return m.State == member.Leaving })
	return member.MinRevisionReplicas(self.Instance, self.FailureDomain, others)
}

func (s *State) onMinRevisionPut(now time.Time, m *Message) {
	if m.MinRevisionPut.Instance != m.From.Instance {
		s.countEvent("floor-foreign") // the metric calls the minimum revision floor
		return
	}
	stored := s.storedMinRevisions.put(now, m.MinRevisionPut.Instance, m.MinRevisionPut.Revision)
	s.send(m.From.Addr, Message{MinRevisionStored: &MinRevision{Instance: m.From.Instance, Revision: stored}})
}

func (s *State) onMinRevisionStored(m *Message) {
	if m.MinRevisionStored.Instance != s.table.Self().Instance {
		return
	}
	if m.MinRevisionStored.Revision >= s.minRev.ackedFor && s.minRev.acked != nil {
		s.minRev.acked[m.From.Instance] = true
	}
	s.minRev.replications = slices.DeleteFunc(s.minRev.replications, func(k *minRevisionReplication) bool {
		if m.MinRevisionStored.Revision < k.revision || !k.asked[m.From.Instance] {
			return false
		}
		k.acked[m.From.Instance] = true
		if len(k.acked) < k.need {
			return false
		}
		k.done(len(k.acked))
		return true
	})
}

func (s *State) onMinRevisionQuery(m *Message) {
	stored, known := s.storedMinRevisions.byInstance[m.From.Instance]
	s.send(m.From.Addr, Message{MinRevisionReply: &MinRevisionReply{
		Nonce: m.MinRevisionQuery.Nonce, Known: known, Established: s.minRev.established,
		Revision: max(stored.revision, s.store.held.Revision),
	}})
}

func (s *State) onMinRevisionReply(m *Message) {
	s.minRev.queries = slices.DeleteFunc(s.minRev.queries, func(a *minRevisionQuery) bool {
		if a.nonce != m.MinRevisionReply.Nonce || !a.asked[m.From.Instance] {
			return false
		}
		a.replies[m.From.Instance] = *m.MinRevisionReply
		return len(a.replies) == len(a.asked) && s.tryEstablish(a)
	})
}

// tickMinRevision advances the minimum revision operations and updates the replicas.
func (s *State) tickMinRevision(now time.Time) {
	s.tickReplications(now)
	s.tickQueries(now)
	s.tickReplicas(now)
}

// tickReplicas sends the revision in force to replicas that lack it: after a change of
// the members, after a lost message, and every MinRevisionRefreshInterval.
func (s *State) tickReplicas(now time.Time) {
	f := &s.minRev
	revision := s.table.Self().InForce
	if revision == 0 || now.Before(f.next) {
		return
	}
	f.next = now.Add(MinRevisionRoundTimeout)
	if f.replicasVersion != s.table.LiveVersion() {
		ranking := s.replicaRanking()
		f.replicas, f.replicasVersion = ranking[:min(MinRevisionReplicas, len(ranking))], s.table.LiveVersion()
	}
	if f.ackedFor != revision || !now.Before(f.refresh) {
		f.acked, f.ackedFor = map[string]bool{}, revision
		f.refresh = now.Add(MinRevisionRefreshInterval)
	}
	for _, k := range f.replicas {
		if !f.acked[k.Instance] {
			s.sendMinRevision(k, revision)
		}
	}
}

func (s *State) sendMinRevision(to member.Member, revision uint64) {
	s.send(to.ControlAddr, Message{MinRevisionPut: &MinRevision{Instance: s.table.Self().Instance, Revision: revision}})
}
