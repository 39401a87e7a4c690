package gossip

import (
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// askWithDead returns what becomes of a floor question if the members of the given
// numbers are dead and all others answer that they are at revision 1.
func askWithDead(t *testing.T, members int, dead ...int) (floor uint64, err error, ended bool) {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	s := NewState(testMember(0), rand.New(rand.NewPCG(1, 1)), nil)
	for i := 1; i < members; i++ {
		m := testMember(i)
		m.Incarnation = 1
		s.merge(now, m)
	}
	for _, i := range dead {
		m := testMember(i)
		m.Incarnation, m.State = 1, member.Dead
		s.merge(now, m)
	}
	packets := s.EstablishMinRevision(now, func(f uint64, e error) { floor, err, ended = f, e, true })
	for step := 0; step < 100 && !ended; step++ {
		for _, p := range packets {
			for i := 1; i < members; i++ {
				m := testMember(i)
				if p.To == m.ControlAddr && p.Message.MinRevisionQuery != nil {
					s.Handle(now, Message{From: Sender{Instance: m.Instance, Addr: m.ControlAddr, Incarnation: 1},
						MinRevisionReply: &MinRevisionReply{Nonce: p.Message.MinRevisionQuery.Nonce, Established: true, Revision: 1}})
				}
			}
		}
		now = now.Add(TickInterval)
		packets = s.Tick(now)
	}
	return floor, err, ended
}

// Guards against a floor from a few survivors that lag: with a keeper and most
// members dead, only the platform or their return can tell the floor.
func TestFloorNeedsMajorityWithoutKeepers(t *testing.T) {
	const members = 6
	var failure *MinRevisionError
	if floor, err, ended := askWithDead(t, members, 2, 3, 4, 5); !ended || !errors.As(err, &failure) || !failure.Minority {
		t.Errorf("one survivor of five: floor %d, error %v, ended %v; want a minority error", floor, err, ended)
	}
	keepers := member.MinRevisionReplicas(testMember(0).Instance, testMember(0).FailureDomain,
		[]member.Member{testMember(1), testMember(2), testMember(3), testMember(4), testMember(5)})
	var lost []int
	for i := 1; i < members; i++ {
		if name := testMember(i).Instance; name == keepers[0].Instance || name == keepers[1].Instance {
			lost = append(lost, i)
		}
	}
	if floor, err, ended := askWithDead(t, members, lost...); !ended || err != nil || floor != 1 {
		t.Errorf("both keepers dead, three of five alive: floor %d, error %v, ended %v; want floor 1", floor, err, ended)
	}
}

// Guards against a floor that is established without its keepers, or from peers that
// have none themselves.
func TestEstablishFloorErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		time.Sleep(3 * time.Second)
		var failure *MinRevisionError
		if _, err := c.agents[0].EstablishMinRevision(t.Context()); !errors.As(err, &failure) || failure.Unestablished == 0 {
			t.Errorf("no node has a floor: %v", err)
		}
		for i := 1; i < 12; i++ {
			c.agents[i].SetMinRevision(0)
		}
		c.net.setCut(func(from, to string) bool { return to == testMember(0).ControlAddr })
		if _, err := c.agents[0].EstablishMinRevision(t.Context()); !errors.As(err, &failure) || len(failure.Silent) == 0 {
			t.Errorf("keepers are silent: %v", err)
		}
		c.net.setCut(func(string, string) bool { return false })
		if floor, err := c.agents[0].EstablishMinRevision(t.Context()); err != nil || floor != 0 {
			t.Errorf("floor %d, %v", floor, err)
		}
	})
}
