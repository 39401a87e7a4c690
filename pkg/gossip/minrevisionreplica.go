package gossip

import (
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// minRevisionReplication is one operation that sends a minimum revision to the replicas
// before a revision is put in force.
type minRevisionReplication struct {
	revision uint64
	need     int
	asked    map[string]bool
	acked    map[string]bool
	round    int
	next     time.Time
	done     func(acked int)
}

// ReplicateMinRevision sends a minimum revision to this node's replicas. done is called
// once with the number of replicas that acknowledged: MinRevisionReplicas, or fewer if the
// mesh has fewer other members or MinRevisionRounds are over.
func (s *State) ReplicateMinRevision(now time.Time, revision uint64, done func(acked int)) []Packet {
	k := &minRevisionReplication{
		revision: revision, need: min(MinRevisionReplicas, s.table.Live()-1),
		asked: map[string]bool{}, acked: map[string]bool{}, next: now, done: done,
	}
	s.minRev.replications = append(s.minRev.replications, k)
	s.tickReplications(now)
	return s.takePackets()
}

// tickReplications starts the rounds that are due. Each round sends the minimum revision
// again to the members that have not acknowledged it and, for each acknowledgement that
// is missing, to one more member of the ranking; after the first round only to members
// that are not suspected.
func (s *State) tickReplications(now time.Time) {
	s.minRev.replications = slices.DeleteFunc(s.minRev.replications, func(k *minRevisionReplication) bool {
		if now.Before(k.next) {
			return false
		}
		if k.need <= 0 || k.round == MinRevisionRounds {
			s.countEvent("floor-missing") // the metric calls the minimum revision floor
			k.done(len(k.acked))
			return true
		}
		k.round++
		k.next = now.Add(MinRevisionRoundTimeout)
		s.replicationRound(k)
		return false
	})
}

func (s *State) replicationRound(k *minRevisionReplication) {
	fresh := k.need - len(k.acked)
	for _, m := range s.replicaRanking() {
		switch {
		case k.acked[m.Instance]:
		case k.asked[m.Instance]:
			s.sendMinRevision(m, k.revision)
		case fresh > 0 && (k.round == 1 || m.State == member.Alive):
			fresh--
			k.asked[m.Instance] = true
			s.sendMinRevision(m, k.revision)
		}
	}
}
