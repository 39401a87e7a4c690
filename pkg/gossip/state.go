package gossip

import (
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
	"golang.org/x/time/rate"
)

// State is the dissemination state machine of one node. It has no clock and does no I/O:
// callers pass the time and send the packets that it returns. It is owned by one
// goroutine.
type State struct {
	rnd                *rand.Rand
	table              *member.Table
	detector           *member.Detector
	store              store
	fetch              fetcher
	updates            updateQueue
	moveStates         moveStateSet
	peers              map[string]*peerState
	due                map[string]bool // peers for which something may be pending
	pendingAcks        map[string]pendingAck
	publications       []*publication
	storedMinRevisions minRevisionStore
	minRev             ownMinRevision
	transfers          transferLimiter
	relays             map[uint64]relay
	progress           progressState
	syncRate           *rate.Limiter
	pushRate           *rate.Limiter

	superseded bool
	mismatches uint64 // number of received member digests that differed

	hints      []string
	nextHint   time.Time
	hintWait   time.Duration
	nextDigest time.Time
	nextClean  time.Time
	out        []Packet
	countEvent counter
}

// counter counts a refused or dropped item by reason.
type counter func(reason string)

// relay is a probe on behalf of another member.
type relay struct {
	to    string
	nonce uint64
	until time.Time
}

// NewState returns the state of a node whose member table contains only itself. counts is
// called with a reason for each refused or dropped item; it may be nil.
func NewState(self member.Member, rnd *rand.Rand, counts func(reason string)) *State {
	if counts == nil {
		counts = func(string) {}
	}
	table := member.NewTable(self, rnd)
	s := &State{
		rnd: rnd, table: table, detector: member.NewDetector(table, rnd), store: newStore(),
		updates: updateQueue{}, moveStates: moveStateSet{byMove: map[string]MoveState{}},
		peers: map[string]*peerState{}, due: map[string]bool{}, pendingAcks: map[string]pendingAck{}, relays: map[uint64]relay{},
		storedMinRevisions: minRevisionStore{byInstance: map[string]storedMinRevision{}},
		transfers:          transferLimiter{running: map[uint64]time.Time{}},
		fetch:              fetcher{sources: map[string]source{}},
		syncRate:           rate.NewLimiter(SyncBytesPerSecond, SyncBurstBytes),
		pushRate:           newPushRate(),
		countEvent:         counts,
	}
	s.updates.add(s.table.Self())
	return s
}

// Table returns the member table; only the owner of the State may use it.
func (s *State) Table() *member.Table { return s.table }

// Tick advances all timers. It is called every TickInterval.
func (s *State) Tick(now time.Time) []Packet {
	probes, changed := s.detector.Tick(now)
	for _, m := range changed {
		s.updates.add(m)
	}
	for _, p := range probes {
		s.sendProbe(p)
	}
	s.tickDigest(now)
	s.tickHint(now)
	s.tickFetch(now)
	s.tickPublish(now)
	s.tickMinRevision(now)
	s.tickClean(now)
	s.flush(now)
	return s.takePackets()
}

// tickClean removes expired entries once a second.
func (s *State) tickClean(now time.Time) {
	if now.Before(s.nextClean) {
		return
	}
	s.nextClean = now.Add(time.Second)
	s.table.RemoveTombstones(now)
	s.storedMinRevisions.clean(now)
	s.transfers.clean(now)
	for nonce, r := range s.relays {
		if now.After(r.until) {
			delete(s.relays, nonce)
		}
	}
	for name := range s.peers {
		if m, ok := s.table.Get(name); !ok || m.State == member.Dead {
			delete(s.peers, name)
		}
	}
}

// takePackets returns the packets collected since the last call.
func (s *State) takePackets() []Packet {
	out := s.out
	s.out = nil
	return out
}

// sender returns the description of this node for its messages.
func (s *State) sender() Sender {
	self := s.table.Self()
	return Sender{
		Instance: self.Instance, Addr: self.ControlAddr, Incarnation: self.Incarnation,
		Revision: s.store.held.Revision, InForce: self.InForce,
	}
}

// send adds a packet with piggybacked member updates.
func (s *State) send(to string, m Message) {
	if to == "" || to == s.table.Self().ControlAddr {
		return
	}
	m.From = s.sender()
	m.Updates = append(m.Updates, s.updates.next(MaxPiggybackBytes-updatesSize(m.Updates), s.table.Live())...)
	s.out = append(s.out, Packet{To: to, Message: m})
}
