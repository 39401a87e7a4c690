package bench

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/gossip"
	"corianderwood.example/corianderwood/pkg/member"
)

// Properties of the simulated mesh and its in-memory network.
const (
	// gossipRoundTime is the time of one round, in which each message travels one hop. It
	// lies between the 0.5 ms within a region and a few tens of ms between regions.
	gossipRoundTime = 10 * time.Millisecond
	// gossipTransferRounds is the duration of a full-state transfer, which occupies one of
	// the sender's transfer slots: 0.5 MB at 100 Mbit/s.
	gossipTransferRounds = 4
	gossipSections       = 98
	gossipSectionBytes   = 4 << 10
	gossipDomains        = 7
	gossipWorkers        = 4
	// gossipSeedAddresses is the number of peer addresses in the settings of a restarted
	// node; a small installation lists this many.
	gossipSeedAddresses = 4
)

// gossipNode is the gossip state of one node with its incoming and outgoing messages.
type gossipNode struct {
	state          *gossip.State
	self           member.Member
	inbox          []gossip.Message
	outbox         []gossip.Packet
	sentBytes      int
	sentMessages   int
	inForce        uint64 // revision
	joined         bool
	nextJoinRound  int
	joinCandidates []int          // indexes of nodes whose addresses it knows
	transferEnds   map[int]uint64 // transfer that ends in a round
	sentByKind     map[string]int // bytes by kind of message
}

// gossipMesh runs the gossip states of many nodes in rounds of virtual time, over an
// in-memory network without loss.
type gossipMesh struct {
	now    time.Time
	round  int
	nodes  []*gossipNode // nil while down
	byAddr map[string]int
	rnd    *rand.Rand
	head   config.Head
	bodies map[string][]byte
	joins  struct{ admitted, refused, bytes int }
}

// gossipMember returns the member row of node i.
func gossipMember(i int) member.Member {
	domain := i % gossipDomains
	return member.Member{
		Instance: fmt.Sprintf("instance-%05d", i), FailureDomain: fmt.Sprintf("domain-%d", domain), Region: fmt.Sprintf("region-%d", domain%3),
		ControlAddr: fmt.Sprintf("10.%d.%d.%d:7400", domain, i/250, i%250), CallAddr: fmt.Sprintf("10.%d.%d.%d:7500", domain, i/250, i%250),
		Incarnation: 1767225600000,
		Upstream:    member.Upstream{Service: fmt.Sprintf("service-%02d", i%98), Version: "v1", Slots: 9},
	}
}

// newGossipMesh returns n nodes that know each other and have revision 1 in force.
func newGossipMesh(n int, seed uint64) *gossipMesh {
	m := &gossipMesh{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), byAddr: map[string]int{}, nodes: make([]*gossipNode, n),
		rnd: rand.New(rand.NewPCG(seed, 2)), bodies: map[string][]byte{},
	}
	m.head = config.Head{Revision: 1, Sections: map[string]config.SectionRef{}}
	for i := range gossipSections {
		m.edit(fmt.Sprintf("section-%02d", i))
	}
	m.head.Revision = 1
	all := make([]member.Member, n)
	for i := range n {
		all[i] = gossipMember(i)
		m.byAddr[all[i].ControlAddr] = i
	}
	m.forEachIndex(func(i int) {
		node := m.newNode(i, all[i].Incarnation)
		m.nodes[i] = node
		node.state.ApplyFullState(m.now, gossip.Message{From: gossip.Sender{Instance: "seed"}, FullState: &gossip.FullState{Members: all}})
		node.state.Offer(m.now, m.head, m.bodies)
		node.joined = true
		m.putInForce(node)
	})
	return m
}

func (m *gossipMesh) newNode(i int, incarnation uint64) *gossipNode {
	self := gossipMember(i)
	self.Incarnation = incarnation
	rnd := rand.New(rand.NewPCG(uint64(i), incarnation))
	return &gossipNode{state: gossip.NewState(self, rnd, nil), self: self, transferEnds: map[int]uint64{}, sentByKind: map[string]int{}}
}

// edit creates a revision of the head with a new random body for one section, without
// publishing it to any node.
func (m *gossipMesh) edit(section string) {
	body := make([]byte, gossipSectionBytes)
	for i := range body {
		body[i] = byte(m.rnd.Uint32())
	}
	sections := map[string]config.SectionRef{}
	for name, ref := range m.head.Sections {
		sections[name] = ref
	}
	hash := config.HashBody(body)
	sections[section] = config.SectionRef{Hash: hash, Revision: sections[section].Revision + 1, Team: "team"}
	m.head = config.Head{Revision: m.head.Revision + 1, Sections: sections}
	m.bodies[hash] = body
}

// forEachIndex calls f for the index of every node, from gossipWorkers goroutines, and waits
// until all calls have returned.
func (m *gossipMesh) forEachIndex(f func(i int)) {
	var group sync.WaitGroup
	for worker := range gossipWorkers {
		group.Go(func() {
			for i := worker; i < len(m.nodes); i += gossipWorkers {
				f(i)
			}
		})
	}
	group.Wait()
}

// putInForce puts the newest revision that the node holds in force.
func (m *gossipMesh) putInForce(node *gossipNode) {
	if held := node.state.HeldRevision(); held > node.inForce {
		node.inForce = held
		node.state.SetInForce(m.now, held)
	}
}

// step runs one round: nodes handle the messages sent in the last round, and tick in every
// tenth round.
func (m *gossipMesh) step() {
	m.round++
	m.now = m.now.Add(gossipRoundTime)
	ticks := m.atTick()
	m.forEachIndex(func(i int) {
		node := m.nodes[i]
		if node == nil {
			return
		}
		for _, message := range node.inbox {
			node.outbox = append(node.outbox, node.state.Handle(m.now, message)...)
		}
		node.inbox = node.inbox[:0]
		if ticks {
			node.outbox = append(node.outbox, node.state.Tick(m.now)...)
		}
		m.putInForce(node)
		for k := range node.outbox {
			data, err := gossip.Encode(node.outbox[k].Message)
			if err != nil {
				panic(err)
			}
			node.sentBytes += len(data)
			node.sentByKind[node.outbox[k].Kind()] += len(data)
			node.sentMessages++
			node.outbox[k].Message.From.Addr = node.self.ControlAddr
		}
	})
	m.deliver()
}

// deliver moves the sent messages to the inboxes of their receivers and ends the transfers
// whose time is over. Messages to nodes that are down are lost.
func (m *gossipMesh) deliver() {
	for _, node := range m.nodes {
		if node == nil {
			continue
		}
		for _, p := range node.outbox {
			if to := m.nodes[m.byAddr[p.To]]; to != nil {
				to.inbox = append(to.inbox, p.Message)
			}
		}
		node.outbox = node.outbox[:0]
		if transfer, ok := node.transferEnds[m.round]; ok {
			node.state.EndTransfer(transfer)
			delete(node.transferEnds, m.round)
		}
	}
}

func (m *gossipMesh) run(d time.Duration) {
	for range int(d / gossipRoundTime) {
		m.step()
	}
}

// runUntil runs rounds until done returns true or the limit is reached, and returns their
// number.
func (m *gossipMesh) runUntil(limit time.Duration, done func() bool) int {
	for i := range int(limit / gossipRoundTime) {
		if done() {
			return i
		}
		m.step()
	}
	return int(limit / gossipRoundTime)
}

// traffic returns the bytes and messages sent by all nodes so far.
func (m *gossipMesh) traffic() (bytes, messages int) {
	for _, node := range m.nodes {
		if node != nil {
			bytes += node.sentBytes
			messages += node.sentMessages
		}
	}
	return bytes, messages
}
