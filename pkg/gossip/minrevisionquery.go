package gossip

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// MinRevisionError tells why a floor could not be established from peers.
type MinRevisionError struct {
	// Silent are the keepers that did not answer.
	Silent []string
	// Lost are keepers that died. With one dead the floor counts as lost, unless most
	// members are alive and all members asked answer.
	Lost []string
	// Minority is set if a keeper and at least half of the known members are dead.
	// The rest may lag behind a revision that only the dead had.
	Minority bool
	// Unestablished is the number of peers that answered but have no floor of their
	// own yet, so that their answer says nothing.
	Unestablished int
}

// Error implements error.
func (e *MinRevisionError) Error() string {
	switch {
	case e.Minority:
		return fmt.Sprintf("gossip: floor keepers %s and at least half of the members are dead; try again when they are back, or read the head from the platform", strings.Join(e.Lost, ", "))
	case len(e.Lost) > 0 && len(e.Silent) > 0:
		return fmt.Sprintf("gossip: floor keepers %s are dead and %s did not answer; try again when more peers answer, or read the head from the platform", strings.Join(e.Lost, ", "), strings.Join(e.Silent, ", "))
	case len(e.Silent) > 0:
		return fmt.Sprintf("gossip: floor keepers %s did not answer; try again after their failure is detected, or read the head from the platform", strings.Join(e.Silent, ", "))
	case e.Unestablished > 0:
		return fmt.Sprintf("gossip: %d peers answered but have no floor of their own yet; try again later, or read the head from the platform", e.Unestablished)
	default:
		return "gossip: no peers are known; join a peer first, or read the head from the platform"
	}
}

// askFloor is the asking of keepers and further members for this instance's floor.
type askFloor struct {
	nonce   uint64
	ranking []member.Member // members asked, keepers first
	lost    []string        // keepers that are dead
	asked   map[string]bool
	answers map[string]MinRevisionReply
	round   int
	next    time.Time
	done    func(floor uint64, err error)
}

// EstablishMinRevision asks the keepers of this instance's floor and the next FloorExtras
// members of their ranking, which were its keepers if the members changed meanwhile.
// done is called once: with the floor when the keepers answered and the others did or
// had FloorRounds to do so, or with a *FloorError after FloorRounds.
func (s *State) EstablishMinRevision(now time.Time, done func(floor uint64, err error)) []Packet {
	ranking := s.keeperRanking()
	ranking = ranking[:min(len(ranking), MinRevisionReplicas+MinRevisionExtras)]
	if len(ranking) == 0 {
		done(0, &MinRevisionError{})
		return nil
	}
	a := &askFloor{
		nonce: s.rnd.Uint64(), ranking: ranking, lost: s.lostKeepers(), asked: map[string]bool{},
		answers: map[string]MinRevisionReply{}, next: now, done: done,
	}
	for _, m := range ranking {
		a.asked[m.Instance] = true
	}
	s.floor.asking = append(s.floor.asking, a)
	s.tickAsk(now)
	return s.take()
}

// lostKeepers returns the keepers, by a ranking that includes the dead, that are dead.
// The other keeper alone is not enough: it may have been unreachable when the floor
// was last sent, which then went to the next of the ranking in its place.
func (s *State) lostKeepers() []string {
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

// tickAsk asks again those that have not answered, and ends after the last round.
func (s *State) tickAsk(now time.Time) {
	s.floor.asking = slices.DeleteFunc(s.floor.asking, func(a *askFloor) bool {
		if now.Before(a.next) {
			return false
		}
		if a.round == MinRevisionRounds {
			if !s.tryEstablish(a) {
				a.done(0, s.floorFailure(a))
			}
			return true
		}
		a.round++
		a.next = now.Add(MinRevisionRoundTimeout)
		for _, m := range a.ranking {
			if answer, ok := a.answers[m.Instance]; !ok || !answer.Established {
				s.send(m.ControlAddr, Message{MinRevisionQuery: &MinRevisionQuery{Nonce: a.nonce}})
			}
		}
		return false
	})
}

// need is the number of established members that must answer, in the order of the
// ranking: the keepers, or all members asked if a keeper is dead.
func (a *askFloor) need() int {
	if len(a.lost) > 0 {
		return len(a.ranking)
	}
	return min(MinRevisionReplicas, len(a.ranking))
}

// tryEstablish establishes the floor if enough members have answered. One that has no
// floor of its own yet has just restarted; the next of the ranking takes its place.
func (s *State) tryEstablish(a *askFloor) bool {
	floor, established := uint64(0), 0
	for _, m := range a.ranking {
		answer, ok := a.answers[m.Instance]
		if !ok && established < a.need() {
			return false
		}
		floor = max(floor, answer.Revision)
		if answer.Established {
			established++
		}
	}
	if established < min(MinRevisionReplicas, len(a.ranking)) || len(a.lost) > 0 && s.minority() {
		return false
	}
	s.establish(floor)
	a.done(floor, nil)
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

func (s *State) floorFailure(a *askFloor) error {
	e := &MinRevisionError{Lost: a.lost, Minority: len(a.lost) > 0 && s.minority()}
	need := a.need()
	for _, m := range a.ranking {
		answer, ok := a.answers[m.Instance]
		switch {
		case !ok && need > 0:
			e.Silent = append(e.Silent, m.Instance)
			need--
		case ok && answer.Established:
			need--
		case ok:
			e.Unestablished++
		}
	}
	return e
}
