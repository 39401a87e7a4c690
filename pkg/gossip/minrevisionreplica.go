package gossip

import (
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// keepFloor is the sending of a floor to its keepers before a revision is put in force.
type keepFloor struct {
	revision uint64
	need     int
	asked    map[string]bool
	kept     map[string]bool
	round    int
	next     time.Time
	done     func(kept int)
}

// ReplicateMinRevision sends a floor to this node's keepers. done is called once, with the
// number of keepers that acknowledged: FloorKeepers, or fewer after FloorRounds.
func (s *State) ReplicateMinRevision(now time.Time, revision uint64, done func(kept int)) []Packet {
	k := &keepFloor{
		revision: revision, need: min(MinRevisionReplicas, s.table.Live()-1),
		asked: map[string]bool{}, kept: map[string]bool{}, next: now, done: done,
	}
	s.floor.keeping = append(s.floor.keeping, k)
	s.tickKeep(now)
	return s.take()
}

// tickKeep starts the rounds that are due. In each round the members asked before
// and, for each that did not answer, the next of the ranking are asked.
func (s *State) tickKeep(now time.Time) {
	s.floor.keeping = slices.DeleteFunc(s.floor.keeping, func(k *keepFloor) bool {
		if now.Before(k.next) {
			return false
		}
		if k.need <= 0 || k.round == MinRevisionRounds {
			s.counts("floor-missing")
			k.done(len(k.kept))
			return true
		}
		k.round++
		k.next = now.Add(MinRevisionRoundTimeout)
		s.keepRound(k)
		return false
	})
}

func (s *State) keepRound(k *keepFloor) {
	fresh := k.need - len(k.kept)
	for _, m := range s.keeperRanking() {
		switch {
		case k.kept[m.Instance]:
		case k.asked[m.Instance]:
			s.sendFloor(m, k.revision)
		case fresh > 0 && (k.round == 1 || m.State == member.Alive):
			fresh--
			k.asked[m.Instance] = true
			s.sendFloor(m, k.revision)
		}
	}
}
