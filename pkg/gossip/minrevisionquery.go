package gossip

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// MinRevisionError describes why a minimum revision could not be established from peers.
type MinRevisionError struct {
	// NotJoined is set if this node has not received the full state of a peer yet. Until
	// then it may not know the dead members, and a single peer would count as all of them.
	NotJoined bool
	// Unanswered are the replicas that did not answer.
	Unanswered []string
	// Lost are the replicas that are dead. If there is one, the minimum revision counts
	// as lost unless most members are alive and all members asked answer.
	Lost []string
	// Minority is set if a replica and at least half of the known members are dead. The
	// rest may not have a revision that the dead members had.
	Minority bool
	// Unestablished is the number of peers that answered but have no minimum revision of
	// their own yet, so that their responses do not count.
	Unestablished int
}

// Error implements error.
func (e *MinRevisionError) Error() string {
	switch {
	case e.NotJoined:
		return "gossip: no peer has sent its full state yet; join a peer first, or read the head from the platform"
	case e.Minority:
		return fmt.Sprintf("gossip: minimum revision replicas %s and at least half of the members are dead; retry when they are alive again, or read the head from the platform", strings.Join(e.Lost, ", "))
	case len(e.Lost) > 0 && len(e.Unanswered) > 0:
		return fmt.Sprintf("gossip: minimum revision replicas %s are dead and %s did not answer; retry when more peers answer, or read the head from the platform", strings.Join(e.Lost, ", "), strings.Join(e.Unanswered, ", "))
	case len(e.Unanswered) > 0:
		return fmt.Sprintf("gossip: minimum revision replicas %s did not answer; retry after their failure is detected, or read the head from the platform", strings.Join(e.Unanswered, ", "))
	case e.Unestablished > 0:
		return fmt.Sprintf("gossip: %d peers answered but have no minimum revision of their own yet; retry later, or read the head from the platform", e.Unestablished)
	default:
		return "gossip: no peers are known; join a peer first, or read the head from the platform"
	}
}

// minRevisionQuery is one operation that queries replicas and further members for this
// instance's minimum revision.
type minRevisionQuery struct {
	nonce   uint64
	ranking []member.Member // members asked, replicas first
	lost    []string        // replicas that are dead
	asked   map[string]bool
	replies map[string]MinRevisionReply
	round   int
	next    time.Time
	done    func(revision uint64, err error)
}

// EstablishMinRevision queries the replicas of this instance's minimum revision and the
// next MinRevisionExtras members of their ranking, which may have been its replicas
// before the membership changed. done is called once: with the minimum revision when the
// replicas have answered and the others have too or MinRevisionRounds are over, or with a
// *MinRevisionError after MinRevisionRounds or, before this node has joined, at once.
func (s *State) EstablishMinRevision(now time.Time, done func(revision uint64, err error)) []Packet {
	if !s.table.Joined() {
		done(0, &MinRevisionError{NotJoined: true})
		return nil
	}
	ranking := s.replicaRanking()
	ranking = ranking[:min(len(ranking), MinRevisionReplicas+MinRevisionExtras)]
	if len(ranking) == 0 {
		done(0, &MinRevisionError{})
		return nil
	}
	a := &minRevisionQuery{
		nonce: s.rnd.Uint64(), ranking: ranking, lost: s.lostReplicas(), asked: map[string]bool{},
		replies: map[string]MinRevisionReply{}, next: now, done: done,
	}
	for _, m := range ranking {
		a.asked[m.Instance] = true
	}
	s.minRev.queries = append(s.minRev.queries, a)
	s.tickQueries(now)
	return s.takePackets()
}

// lostReplicas returns the dead members among the replicas, by a ranking that includes
// the dead. The response of the remaining replica alone is not enough: it may have been
// unreachable when the minimum revision was last sent, which then went to the next member
// of the ranking instead.
func (s *State) lostReplicas() []string {
	self := s.table.Self()
	var lost []string
	for i, m := range member.MinRevisionReplicas(self.Instance, self.FailureDomain, s.table.Members()) {
		if i == MinRevisionReplicas {
			break
		}
		if m.State == member.Dead {
			lost = append(lost, m.Instance)
		}
	}
	return lost
}

// tickQueries sends the query again to members without a usable response, and ends
// queries after the last round.
func (s *State) tickQueries(now time.Time) {
	s.minRev.queries = slices.DeleteFunc(s.minRev.queries, func(a *minRevisionQuery) bool {
		if now.Before(a.next) {
			return false
		}
		if a.round == MinRevisionRounds {
			if !s.tryEstablish(a) {
				a.done(0, s.establishError(a))
			}
			return true
		}
		a.round++
		a.next = now.Add(MinRevisionRoundTimeout)
		for _, m := range a.ranking {
			if reply, ok := a.replies[m.Instance]; !ok || !reply.Established {
				s.send(m.ControlAddr, Message{MinRevisionQuery: &MinRevisionQuery{Nonce: a.nonce}})
			}
		}
		return false
	})
}

// need is the number of established members that must answer, in the order of the
// ranking: the replicas, or all members asked if a replica is dead.
func (a *minRevisionQuery) need() int {
	if len(a.lost) > 0 {
		return len(a.ranking)
	}
	return min(MinRevisionReplicas, len(a.ranking))
}

// tryEstablish establishes the minimum revision if enough members have answered. A member
// without a minimum revision of its own has just restarted; the next of the ranking
// counts in its place.
func (s *State) tryEstablish(a *minRevisionQuery) bool {
	revision, established := uint64(0), 0
	for _, m := range a.ranking {
		reply, ok := a.replies[m.Instance]
		if !ok && established < a.need() {
			return false
		}
		revision = max(revision, reply.Revision)
		if reply.Established {
			established++
		}
	}
	if established < min(MinRevisionReplicas, len(a.ranking)) || len(a.lost) > 0 && s.minority() {
		return false
	}
	s.establish(revision)
	a.done(revision, nil)
	return true
}

// minority reports whether at least half of the other known members are dead.
func (s *State) minority() bool {
	alive, known := 0, 0
	for _, m := range s.table.Members() {
		if m.Instance == s.table.Self().Instance {
			continue
		}
		known++
		if m.State != member.Dead {
			alive++
		}
	}
	return 2*alive <= known
}

func (s *State) establishError(a *minRevisionQuery) error {
	e := &MinRevisionError{Lost: a.lost, Minority: len(a.lost) > 0 && s.minority()}
	need := a.need()
	for _, m := range a.ranking {
		reply, ok := a.replies[m.Instance]
		switch {
		case !ok && need > 0:
			e.Unanswered = append(e.Unanswered, m.Instance)
			need--
		case ok && reply.Established:
			need--
		case ok:
			e.Unestablished++
		}
	}
	return e
}
