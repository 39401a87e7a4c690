package gossip

import (
	"maps"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
	"golang.org/x/time/rate"
)

// peerState holds what is known about a peer and what is to be sent to it unsolicited.
// What becomes due before the next message is merged into that message.
type peerState struct {
	addr       string
	revision   uint64 // highest revision that the peer is known to hold
	announce   bool   // send the held revision number
	push       bool   // send member updates
	record     bool   // send the record of the peer itself, so that it refutes
	self       bool   // send the record of this node, which the peer listed as suspect or dead
	digest     bool   // start a digest exchange
	moveStates map[string]bool
	next       time.Time
}

func (p *peerState) pending() bool {
	return p.announce || p.push || p.record || p.self || p.digest || len(p.moveStates) > 0
}

// peer returns the state of a peer for modification and includes the peer in the next
// flush.
func (s *State) peer(instance, addr string) *peerState {
	p, ok := s.peers[instance]
	if !ok {
		p = &peerState{moveStates: map[string]bool{}}
		s.peers[instance] = p
	}
	if addr != "" {
		p.addr = addr
	}
	s.due[instance] = true
	return p
}

// choosePeers returns up to n random partners. If none of n is in another failure domain,
// a partner in one, or else a random member in one, replaces the last.
func (s *State) choosePeers(n int) []member.Member {
	partners := s.table.Partners()
	domain := s.table.Self().FailureDomain
	var out []member.Member
	other := false
	var spare *member.Member
	for _, i := range s.rnd.Perm(len(partners)) {
		m, ok := s.table.Get(partners[i])
		if !ok || m.State == member.Dead {
			continue
		}
		switch {
		case len(out) < n:
			out = append(out, m)
			other = other || m.FailureDomain != domain
		case !other && spare == nil && m.FailureDomain != domain:
			spare = &m
		}
	}
	if !other && len(out) == n {
		if spare == nil {
			spare = s.randomOutside(domain)
		}
		if spare != nil {
			out[n-1] = *spare
		}
	}
	return out
}

// randomOutside returns a random live member outside a failure domain, or nil.
func (s *State) randomOutside(domain string) *member.Member {
	outside := slices.DeleteFunc(s.table.Others(), func(m member.Member) bool { return m.FailureDomain == domain })
	if len(outside) == 0 {
		return nil
	}
	return &outside[s.rnd.IntN(len(outside))]
}

// announce schedules the held revision number for sending to random peers. A peer whose
// message is delayed receives only the newest number.
func (s *State) announce() {
	for _, m := range s.choosePeers(AnnounceFanout) {
		s.peer(m.Instance, m.ControlAddr).announce = true
	}
}

// pushUpdates schedules the queued member updates for sending to random peers. Without it
// they would only be piggybacked on probes, and a drain would need 5 s to spread.
func (s *State) pushUpdates() {
	for _, m := range s.choosePeers(AnnounceFanout) {
		s.peer(m.Instance, m.ControlAddr).push = true
	}
}

// flush sends pending data to peers whose PeerInterval has passed.
func (s *State) flush(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(s.due)) {
		p, ok := s.peers[name]
		if ok && p.announce && p.revision >= s.store.held.Revision {
			p.announce = false
		}
		if ok && p.pending() {
			if now.Before(p.next) {
				continue
			}
			s.flushPeer(now, name, p)
		}
		delete(s.due, name)
	}
}

func (s *State) flushPeer(now time.Time, name string, p *peerState) {
	var m Message
	if p.record {
		if rec, ok := s.table.Get(name); ok && rec.State != member.Alive {
			m.Updates = []member.Member{rec}
		}
	}
	if p.self {
		m.Updates = append(m.Updates, s.table.Self())
	}
	for _, move := range slices.Sorted(maps.Keys(p.moveStates)) {
		m.MoveStates = append(m.MoveStates, s.moveStates.byMove[move])
	}
	if p.digest {
		m.Digest = s.digest(false)
	}
	necessary := p.announce || p.digest || len(m.MoveStates) > 0 || len(m.Updates) > 0
	if !necessary && (len(s.updates) == 0 || !s.pushRate.AllowN(now, pushCost)) {
		p.push, p.record = false, false
		return
	}
	p.announce, p.push, p.record, p.self, p.digest = false, false, false, false, false
	clear(p.moveStates)
	p.next = now.Add(PeerInterval)
	s.send(p.addr, m)
}

// pushCost is the number of bytes that one push of member updates counts against the push
// limit.
const pushCost = MaxPiggybackBytes

func newPushRate() *rate.Limiter { return rate.NewLimiter(PushBytesPerSecond, PushBurstBytes) }
