package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/member"
)

// process is one process of the node in a slot; each launch starts a new one.
type process struct {
	state                  *State
	self                   member.Member
	paused                 bool
	joined                 bool
	inForce                uint64
	replicating            bool
	querying               bool
	minRevisionUnreachable bool
	nextJoin               time.Time
	nextPoll               time.Time
}

// pauseQueue bounds the messages that are kept for a paused process.
const pauseQueue = 200

// delivery is a message in transit.
type delivery struct {
	at time.Time
	to string
	m  Message
}

// simulation runs the States of one mesh in virtual time over a network that loses, delays
// and reorders messages, with a platform that can be down.
type simulation struct {
	rnd           *rand.Rand
	now           time.Time
	start         time.Time
	procs         []*process // by slot; nil while down
	addrs         []string   // by slot
	network       []delivery
	loss          float64
	corrupt       float64
	dropRevisions bool  // messages that carry revisions are lost
	side          []int // by slot; messages between sides are lost
	platform      bool  // up
	head          config.Head
	bodies        map[string][]byte
	highest       []uint64 // by slot: highest revision ever in force
	hist          history
	checked       int // length of the history at the last check
	err           error
}

func newSimulation(n int, seed uint64) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, platform: true,
		procs: make([]*process, n), side: make([]int, n), highest: make([]uint64, n), bodies: map[string][]byte{},
		hist: history{accepted: map[uint64]config.Head{}},
	}
	for i := range n {
		w.addrs = append(w.addrs, testMember(i).ControlAddr)
	}
	for i := range n {
		w.launch(i)
	}
	return w
}

func (w *simulation) launch(slot int) {
	if w.procs[slot] != nil {
		return
	}
	m := testMember(slot)
	m.Incarnation = uint64(w.now.UnixMilli())
	rnd := rand.New(rand.NewPCG(w.rnd.Uint64(), uint64(slot)))
	state := NewState(m, rnd, nil)
	state.AddHints(w.addrs)
	w.procs[slot] = &process{state: state, self: m, nextJoin: w.now, nextPoll: w.now}
}

// slotOf returns the slot with an address.
func (w *simulation) slotOf(addr string) int {
	return slices.Index(w.addrs, addr)
}

func (w *simulation) reachable(a, b int) bool { return w.side[a] == w.side[b] }

func (w *simulation) send(from int, packets []Packet) {
	for _, p := range packets {
		to := w.slotOf(p.To)
		if to < 0 || !w.reachable(from, to) || w.rnd.Float64() < w.loss {
			continue
		}
		if w.dropRevisions && (p.Fetch != nil || p.Delta != nil || p.Bodies != nil) {
			continue
		}
		m := w.reencode(p.Message)
		for i := range m.Bodies {
			if w.rnd.Float64() < w.corrupt && len(m.Bodies[i]) > 0 {
				m.Bodies[i] = append([]byte{m.Bodies[i][0] ^ 1}, m.Bodies[i][1:]...)
			}
		}
		delay := time.Duration(w.rnd.Int64N(int64(250 * time.Millisecond)))
		w.network = append(w.network, delivery{w.now.Add(delay), p.To, m})
	}
}

// reencode passes a message through the codec, as a transport does.
func (w *simulation) reencode(m Message) Message {
	data, err := Encode(m)
	if err != nil {
		panic(err)
	}
	out, err := Decode(data)
	if err != nil {
		panic(err)
	}
	return out
}

// step advances time by one tick.
func (w *simulation) step() {
	w.now = w.now.Add(TickInterval)
	backlog := map[int]int{}
	slices.SortStableFunc(w.network, func(a, b delivery) int { return a.at.Compare(b.at) })
	for len(w.network) > 0 && !w.network[0].at.After(w.now) {
		d := w.network[0]
		w.network = w.network[1:]
		slot := w.slotOf(d.to)
		if p := w.procs[slot]; p != nil && p.paused {
			// Read after the pause, unless the queue of the paused process is full.
			if backlog[slot]++; backlog[slot] <= pauseQueue {
				d.at = w.now.Add(TickInterval)
				w.network = append(w.network, d)
			}
		} else if p != nil {
			w.send(slot, p.state.Handle(w.now, d.m))
		}
	}
	for slot, p := range w.procs {
		if p != nil && !p.paused {
			w.send(slot, p.state.Tick(w.now))
			w.operate(slot, p)
		}
	}
	if w.err == nil {
		w.err = w.check()
	}
}

// operate acts as the node that uses a State.
func (w *simulation) operate(slot int, p *process) {
	if !p.joined && !w.now.Before(p.nextJoin) {
		w.join(slot, p)
	}
	if w.platform && !w.now.Before(p.nextPoll) {
		p.nextPoll = w.now.Add(7 * time.Second)
		p.state.SetMinRevision(w.head.Revision)
		if w.head.Revision > 0 {
			p.state.Offer(w.now, w.head, w.bodies)
			p.state.flush(w.now)
			w.send(slot, p.state.takePackets())
		}
	}
	if _, ok := p.state.MinRevision(); !ok && p.joined && !p.querying {
		p.querying = true
		w.send(slot, p.state.EstablishMinRevision(w.now, func(_ uint64, err error) {
			p.querying = false
			p.minRevisionUnreachable = err == nil && !w.replicaReachable(slot)
		}))
	}
	r, ok := p.state.Revision()
	if !ok || p.replicating || r.Head.Revision <= p.inForce {
		return
	}
	p.replicating = true
	w.send(slot, p.state.ReplicateMinRevision(w.now, r.Head.Revision, func(int) {
		p.replicating = false
		p.inForce = r.Head.Revision
		p.state.SetInForce(w.now, p.inForce)
		w.highest[slot] = max(w.highest[slot], p.inForce)
		w.hist.outputs = append(w.hist.outputs, output{w.now.Sub(w.start), p.self.Instance, p.self.Incarnation, r, p.minRevisionUnreachable})
	}))
}

// replicaReachable reports whether a process that stores the latest minimum revision of a
// slot runs on the slot's side of the network.
func (w *simulation) replicaReachable(slot int) bool {
	for i, p := range w.procs {
		if p == nil || i == slot || p.paused || !w.reachable(i, slot) {
			continue
		}
		if p.state.storedMinRevisions.byInstance[testMember(slot).Instance].revision >= w.highest[slot] {
			return true
		}
	}
	return false
}

func (w *simulation) join(slot int, p *process) {
	p.nextJoin = w.now.Add(time.Second)
	i := w.rnd.IntN(len(w.procs))
	peer := w.procs[i]
	if peer == nil || i == slot || peer.paused || !w.reachable(slot, i) {
		return
	}
	response, transfer := peer.state.HandleJoin(w.now, w.reencode(p.state.JoinRequest()))
	w.send(i, peer.state.takePackets())
	if response.FullState != nil {
		w.send(slot, p.state.ApplyFullState(w.now, w.reencode(response)))
		p.joined = true
		if w.rnd.Float64() < 0.9 { // the end of a transfer may not be reported
			peer.state.EndTransfer(transfer)
		}
	}
}

// edit commits a new revision at a node.
func (w *simulation) edit(slot int) {
	p := w.procs[slot]
	if !w.platform || p == nil || p.paused {
		return
	}
	h := config.Head{Revision: w.head.Revision + 1, Sections: map[string]config.SectionRef{}}
	for name, ref := range w.head.Sections {
		h.Sections[name] = ref
	}
	name := fmt.Sprintf("section-%d", w.rnd.IntN(5))
	if _, ok := h.Sections[name]; ok && w.rnd.IntN(8) == 0 {
		delete(h.Sections, name)
	} else {
		body := fmt.Appendf(nil, "%s at %d", name, h.Revision)
		h.Sections[name] = config.SectionRef{Hash: hashBody(body), Revision: h.Revision, Team: "t"}
		w.bodies[hashBody(body)] = body
	}
	w.head = h
	w.hist.accepted[h.Revision] = h
	w.send(slot, p.state.Publish(w.now, h, w.bodies, func([]string) {}))
}

// check runs the checkers if the last step added to the history.
func (w *simulation) check() error {
	before := w.checked
	for _, p := range w.procs {
		if p == nil {
			continue
		}
		if len(p.state.transfers.running) > MaxTransfers {
			return fmt.Errorf("%s serves %d transfers at once", p.self.Instance, len(p.state.transfers.running))
		}
		for _, m := range p.state.ChangedMoveStates() {
			w.hist.moveStates = append(w.hist.moveStates, seenMoveState{fmt.Sprint(p.self.Instance, p.self.Incarnation), m})
		}
	}
	if w.checked = len(w.hist.outputs) + len(w.hist.moveStates); w.checked == before {
		return nil
	}
	for _, check := range []func(*history) error{checkMonotonic, checkComplete, checkMoveStates} {
		if err := check(&w.hist); err != nil {
			return err
		}
	}
	return nil
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.err == nil; {
		w.step()
	}
}

// heal ends all faults except a platform outage, and launches the processes that are
// down.
func (w *simulation) heal() {
	w.loss, w.corrupt = 0, 0
	clear(w.side)
	for slot := range w.procs {
		w.launch(slot)
		w.procs[slot].paused = false
	}
}

// views returns the states of all processes.
func (w *simulation) views() []view {
	var out []view
	for _, p := range w.procs {
		out = append(out, view{p.self.Instance, p.state.HeldRevision(), p.inForce, p.state.table.Members(), p.state.moveStates.digest})
	}
	return out
}

// newestHeld is the highest revision that a live process holds.
func (w *simulation) newestHeld() uint64 {
	highest := uint64(0)
	for _, p := range w.procs {
		if p != nil {
			highest = max(highest, p.state.store.held.Revision)
		}
	}
	return highest
}
