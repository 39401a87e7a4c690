package gossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/member"
	"corianderwood.example/corianderwood/pkg/reason"
	"github.com/google/go-cmp/cmp"
)

// testMember returns the record of node i. Nodes are distributed round robin over six
// failure domains and two regions.
func testMember(i int) member.Member {
	return member.Member{
		Instance: fmt.Sprintf("node-%03d", i), FailureDomain: fmt.Sprintf("fd-%d", i%6), Region: fmt.Sprintf("r-%d", i%2),
		ControlAddr: fmt.Sprintf("10.0.0.%d:7400", i), CallAddr: fmt.Sprintf("10.0.0.%d:7500", i),
	}
}

// testHead returns a head and the bodies of its sections, which differ by revision.
func testHead(revision uint64, sections ...string) (config.Head, map[string][]byte) {
	h := config.Head{Revision: revision, Sections: map[string]config.SectionRef{}}
	bodies := map[string][]byte{}
	for _, name := range sections {
		body := fmt.Appendf(nil, "%s at %d", name, revision)
		h.Sections[name] = config.SectionRef{Hash: hashBody(body), Revision: revision, Team: "t"}
		bodies[hashBody(body)] = body
	}
	return h, bodies
}

// cluster runs agents over a memNet.
type cluster struct {
	t      *testing.T
	net    *memNet
	agents map[int]*Agent
	stop   map[int]context.CancelFunc
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, net: newMemNet(), agents: map[int]*Agent{}, stop: map[int]context.CancelFunc{}}
	t.Cleanup(func() {
		for _, stop := range c.stop {
			stop()
		}
	})
	for i := range n {
		c.start(i)
	}
	return c
}

// start runs node i and joins it to the running nodes.
func (c *cluster) start(i int) *Agent {
	var addrs []string
	for j := range c.agents {
		addrs = append(addrs, testMember(j).ControlAddr)
	}
	m := testMember(i)
	a := NewAgent(m, c.net.transport(m.ControlAddr), Options{Rand: rand.New(rand.NewPCG(1, uint64(i)))})
	ctx, stop := context.WithCancel(c.t.Context())
	c.agents[i], c.stop[i] = a, stop
	go func() { _ = a.Run(ctx) }()
	if err := a.Join(ctx, addrs); err != nil && !errors.Is(err, ErrNoPeers) {
		c.t.Errorf("node %d cannot join: %v", i, err)
	}
	return a
}

func (c *cluster) kill(i int) {
	c.stop[i]()
	delete(c.stop, i)
	delete(c.agents, i)
}

// Guards against a published revision that does not reach a node, and against too few
// acknowledgements reported to the publisher.
func TestPublishReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		for _, a := range c.agents {
			a.SetMinRevision(0)
		}
		time.Sleep(5 * time.Second)
		h, bodies := testHead(7, "a", "b")
		ackedBy := c.agents[3].Publish(t.Context(), h, bodies)
		if len(ackedBy) < 2 {
			t.Fatalf("acknowledged by %v, want two instances", ackedBy)
		}
		time.Sleep(2 * time.Second)
		for i, a := range c.agents {
			select {
			case r := <-a.Revisions():
				if diff := cmp.Diff(h, r.Head); diff != "" || len(r.Bodies) != 2 {
					t.Errorf("node %d: %d bodies, head %s", i, len(r.Bodies), diff)
				}
			default:
				t.Errorf("node %d has no revision", i)
			}
		}
	})
}

// Guards against a killed node that stays listed as alive, and against a live node that
// is listed as dead.
func TestKilledNodeIsDeclaredDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		time.Sleep(5 * time.Second)
		c.kill(4)
		time.Sleep(20 * time.Second)
		for i, a := range c.agents {
			for _, m := range a.Members() {
				want := member.Alive
				if m.Instance == testMember(4).Instance {
					want = member.Dead
				}
				if m.State != want {
					t.Errorf("node %d lists %s as %v, want %v", i, m.Instance, m.State, want)
				}
			}
			if len(a.Members()) != 12 {
				t.Errorf("node %d lists %d members", i, len(a.Members()))
			}
		}
	})
}

// Guards against move states that do not reach all nodes, and against evidence that is
// reported as sent but not delivered.
func TestMarksAndEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		time.Sleep(2 * time.Second)
		c.agents[0].MergeMoveState(MoveState{Move: "m", Stage: 2})
		c.agents[5].MergeMoveState(MoveState{Move: "m", RolledBack: true, Reason: "failures"})
		time.Sleep(2 * time.Second)
		want := MoveState{Move: "m", Stage: 2, RolledBack: true, Reason: "failures"}
		for i, a := range c.agents {
			var got MoveState
			for len(a.MoveStates()) > 0 {
				got = <-a.MoveStates()
			}
			if got != want {
				t.Errorf("node %d has move state %+v, want %+v", i, got, want)
			}
		}
		if err := c.agents[0].SendEvidence(t.Context(), testMember(9).Instance, []byte("e")); err != nil {
			t.Fatal(err)
		}
		if got := <-c.agents[9].Evidence(); string(got) != "e" {
			t.Errorf("evidence %q", got)
		}
	})
}

// Guards against a restarted instance to which a revision below the one it had in force
// is delivered, or any revision before its minimum revision is established.
func TestRestartKeepsMinRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		for _, a := range c.agents {
			a.SetMinRevision(0)
		}
		time.Sleep(3 * time.Second)
		if acked := c.agents[7].ReplicateMinRevision(t.Context(), 5); acked != MinRevisionReplicas {
			t.Fatalf("minimum revision stored by %d members", acked)
		}
		c.kill(7)
		h, bodies := testHead(4, "a")
		c.agents[2].Publish(t.Context(), h, bodies)
		time.Sleep(time.Second)
		a := c.start(7)
		time.Sleep(3 * time.Second)
		if len(a.Revisions()) != 0 {
			t.Error("revision delivered before the minimum revision was established")
		}
		minRevision, err := a.EstablishMinRevision(t.Context())
		if err != nil || minRevision != 5 {
			t.Fatalf("minimum revision %d, %v, want 5", minRevision, err)
		}
		time.Sleep(time.Second)
		if len(a.Revisions()) != 0 {
			t.Error("revision below the minimum revision delivered")
		}
		h, bodies = testHead(6, "a")
		c.agents[2].Publish(t.Context(), h, bodies)
		time.Sleep(2 * time.Second)
		if r := <-a.Revisions(); r.Head.Revision != 6 {
			t.Errorf("revision %d, want 6", r.Head.Revision)
		}
	})
}

// Guards against acknowledgements of two members of one failure domain or of the
// publisher's own, and against a Publish that takes longer than PublishTimeout.
func TestPublishHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		time.Sleep(5 * time.Second)
		domains := map[string]bool{testMember(3).FailureDomain: true}
		h, bodies := testHead(2, "a")
		for _, holder := range c.agents[3].Publish(t.Context(), h, bodies) {
			for i := range 12 {
				if m := testMember(i); m.Instance == holder {
					if domains[m.FailureDomain] {
						t.Errorf("%s counted twice, or as the publisher's own failure domain", m.FailureDomain)
					}
					domains[m.FailureDomain] = true
				}
			}
		}
		c.net.setCut(func(from, to string) bool { return true })
		start := time.Now()
		h, bodies = testHead(3, "a")
		if held := c.agents[3].Publish(t.Context(), h, bodies); len(held) != 0 {
			t.Errorf("acknowledged by %v without a network", held)
		}
		if took := time.Since(start); took < PublishTimeout || took > PublishTimeout+2*TickInterval {
			t.Errorf("Publish returned after %v", took)
		}
	})
}

// Guards against more than MaxTransfers concurrent transfers, a refusal without reason or
// wait, and a transfer that counts against the limit forever.
func TestTransferAdmission(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewState(testMember(0), rand.New(rand.NewPCG(1, 1)), nil)
	var transfers []uint64
	for i := range MaxTransfers + 1 {
		joiner := NewState(testMember(i+1), rand.New(rand.NewPCG(1, 2)), nil)
		answer, transfer := s.HandleJoin(now, joiner.JoinRequest())
		if refused := answer.Refusal != nil; refused != (i == MaxTransfers) {
			t.Fatalf("request %d refused: %v", i, refused)
		}
		if r := answer.Refusal; r != nil && (r.Reason != reason.TransferLimit || r.Wait <= 0) {
			t.Errorf("refusal %+v", r)
		}
		transfers = append(transfers, transfer)
	}
	s.EndTransfer(transfers[0])
	if answer, _ := s.HandleJoin(now, Message{}); answer.FullState == nil {
		t.Error("refused after a transfer ended")
	}
	if answer, _ := s.HandleJoin(now.Add(TransferTimeout), Message{}); answer.FullState == nil {
		t.Error("refused after the timeout")
	}
}

// Guards against a leaving node of which other nodes learn too late: a leaving upstream
// must get no new calls after 3 s (design, invariant I8).
func TestLeaveSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 40)
		time.Sleep(10 * time.Second)
		if err := c.agents[5].Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.kill(5)
		time.Sleep(1500 * time.Millisecond)
		for i, a := range c.agents {
			for _, m := range a.Members() {
				if m.Instance == testMember(5).Instance && (m.State != member.Leaving || !m.Upstream.Draining) {
					t.Errorf("node %d lists the leaving node as %v", i, m.State)
				}
			}
		}
		time.Sleep(20 * time.Second)
		for _, m := range c.agents[0].Members() {
			if m.Instance == testMember(5).Instance && m.State != member.Dead {
				t.Errorf("node that left is listed as %v", m.State)
			}
		}
	})
}

// Guards against a Join that never returns although no peer can be reached.
func TestJoinFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		if err := c.agents[0].Join(t.Context(), []string{"10.9.9.9:1"}); err == nil {
			t.Error("joined through an address at which no node runs")
		}
	})
}
