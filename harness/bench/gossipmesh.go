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

// Properties of the in-memory link.
const (
	// gossipHop is the time of one round, in which each message travels one hop. It
	// lies between the 0.5 ms within a region and a few tens of ms between regions.
	gossipHop = 10 * time.Millisecond
	// gossipTransferRounds is the time that a full-state transfer keeps its place:
	// 0.5 MB at 100 Mbit/s.
	gossipTransferRounds = 4
	gossipSections       = 98
	gossipSectionBytes   = 4 << 10
	gossipDomains        = 7
	gossipWorkers        = 4
	// gossipFewAddresses is the number of peers named in the settings of a small setup.
	gossipFewAddresses = 4
)

// gossipNode is one State and what arrives for it.
type gossipNode struct {
	state    *gossip.State
	self     member.Member
	inbox    []gossip.Message
	outbox   []gossip.Packet
	sent     int // bytes
	messages int // sent
	inForce  uint64
	joined   bool
	nextJoin int   // round
	known    []int // nodes that it may join
	ends     map[int]uint64
	kinds    map[string]int // bytes sent by kind
}

// gossipMesh runs States in rounds over an in-memory link that loses nothing.
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

func gossipMember(i int) member.Member {
	domain := i % gossipDomains
	return member.Member{
		Instance: fmt.Sprintf("instance-%05d", i), FailureDomain: fmt.Sprintf("domain-%d", domain), Region: fmt.Sprintf("region-%d", domain%3),
		ControlAddr: fmt.Sprintf("10.%d.%d.%d:7400", domain, i/250, i%250), CallAddr: fmt.Sprintf("10.%d.%d.%d:7500", domain, i/250, i%250),
		Incarnation: 1767225600000,
		Upstream:    member.Upstream{Service: fmt.Sprintf("service-%02d", i%98), Version: "v1", Slots: 9},
	}
}

// newGossipMesh returns n nodes that know each other and hold revision 1.
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
	m.each(func(i int) {
		node := m.newNode(i, all[i].Incarnation)
		m.nodes[i] = node
		node.state.ApplyFullState(m.now, gossip.Message{From: gossip.Sender{Instance: "seed"}, FullState: &gossip.FullState{Members: all}})
		node.state.Offer(m.now, m.head, m.bodies)
		node.joined = true
		m.apply(node)
	})
	return m
}

func (m *gossipMesh) newNode(i int, incarnation uint64) *gossipNode {
	self := gossipMember(i)
	self.Incarnation = incarnation
	rnd := rand.New(rand.NewPCG(uint64(i), incarnation))
	return &gossipNode{state: gossip.NewState(self, rnd, nil), self: self, ends: map[int]uint64{}, kinds: map[string]int{}}
}

// edit changes one section of the head, without spreading it.
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

// each runs f for all indexes in a few goroutines.
func (m *gossipMesh) each(f func(i int)) {
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

// apply puts the newest revision in force, as a node does.
func (m *gossipMesh) apply(node *gossipNode) {
	if held := node.state.HeldRevision(); held > node.inForce {
		node.inForce = held
		node.state.SetInForce(m.now, held)
	}
}

// step runs one round: each message of the last round arrives, and every tenth
// round is a tick.
func (m *gossipMesh) step() {
	m.round++
	m.now = m.now.Add(gossipHop)
	ticks := m.atTick()
	m.each(func(i int) {
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
		m.apply(node)
		for k := range node.outbox {
			data, err := gossip.Encode(node.outbox[k].Message)
			if err != nil {
				panic(err)
			}
			node.sent += len(data)
			node.kinds[node.outbox[k].Kind()] += len(data)
			node.messages++
			node.outbox[k].Message.From.Addr = node.self.ControlAddr
		}
	})
	m.deliver()
}

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
		if transfer, ok := node.ends[m.round]; ok {
			node.state.EndTransfer(transfer)
			delete(node.ends, m.round)
		}
	}
}

func (m *gossipMesh) run(d time.Duration) {
	for range int(d / gossipHop) {
		m.step()
	}
}

// until runs rounds until done or the limit, and returns their number.
func (m *gossipMesh) until(limit time.Duration, done func() bool) int {
	for i := range int(limit / gossipHop) {
		if done() {
			return i
		}
		m.step()
	}
	return int(limit / gossipHop)
}

// traffic returns the bytes and messages sent by all nodes so far.
func (m *gossipMesh) traffic() (bytes, messages int) {
	for _, node := range m.nodes {
		if node != nil {
			bytes += node.sent
			messages += node.messages
		}
	}
	return bytes, messages
}
