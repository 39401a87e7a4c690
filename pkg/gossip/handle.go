package gossip

import (
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// relayTimeout bounds the wait for the answer to a probe on behalf of another member.
const relayTimeout = 2 * time.Second

// maxRelays bounds the probes under way on behalf of others.
const maxRelays = 256

// Handle takes one best-effort message and returns the packets to send.
func (s *State) Handle(now time.Time, m Message) []Packet {
	if m.From.Instance == s.table.Self().Instance {
		return nil
	}
	accused := s.absorb(now, &m)
	switch {
	case m.Ping != nil:
		s.onPing(m.From, m.Ping, accused)
	case m.Ack != nil:
		s.onAck(m.Ack)
	case m.PingRequest != nil:
		s.onPingRequest(now, &m)
	case m.Fetch != nil:
		s.onFetch(&m)
	case m.Held != nil:
		s.onHeld(now, &m)
	case m.MinRevisionPut != nil:
		s.onFloorPut(now, &m)
	case m.MinRevisionStored != nil:
		s.onFloorKept(&m)
	case m.MinRevisionQuery != nil:
		s.onFloorAsk(&m)
	case m.MinRevisionReply != nil:
		s.onFloorAnswer(&m)
	case m.Sync != nil:
		s.onSync(now, &m)
	}
	if m.Delta != nil || m.Bodies != nil {
		s.onDelta(now, &m)
	}
	if m.Digest != nil {
		s.onDigest(now, &m)
	}
	if m.Buckets != nil {
		s.onBuckets(now, &m)
	}
	s.noteRevision(now, m.From)
	s.flush(now)
	return s.take()
}

// absorb merges what may ride on any message. It reports whether the sender lists
// this node as suspect or dead. The sender is then sent this node's record, even if
// the accusation is older than it: across a partition the sender may have missed
// several refutations.
func (s *State) absorb(now time.Time, m *Message) (accused bool) {
	s.heard(m.From)
	for _, u := range m.Updates {
		before, _ := s.table.Get(u.Instance)
		if s.merge(now, u) == member.Applied && before.State == member.Dead && u.Instance == m.From.Instance {
			// The sender may come from the other side of a healed partition.
			s.peer(m.From.Instance, m.From.Addr).digest = true
		}
		if u.Instance == s.table.Self().Instance && (u.State == member.Suspect || u.State == member.Dead) {
			accused = true
		}
	}
	if accused && m.Ping == nil {
		s.peer(m.From.Instance, m.From.Addr).self = true
	}
	s.mergeMarks(m.MoveStates, m.From.Instance)
	if m.Progress != nil {
		s.mergeProgress(now, m.Progress)
	}
	return accused
}

// heard notes the sender of a message. A sender that is listed as suspect or dead,
// or with a later incarnation, is sent its record so that it refutes.
func (s *State) heard(from Sender) {
	p := s.peer(from.Instance, from.Addr)
	p.revision = max(p.revision, from.Revision)
	s.table.MessageReceived(from.Instance)
	rec, ok := s.table.Get(from.Instance)
	if !ok {
		return
	}
	switch {
	case rec.Incarnation == from.Incarnation:
		s.table.SetInForce(from.Instance, from.InForce)
		p.record = p.record || rec.State == member.Suspect || rec.State == member.Dead
	case rec.Incarnation > from.Incarnation:
		p.record = true
	}
}

// merge takes a member update over and spreads it if it is new.
func (s *State) merge(now time.Time, u member.Member) member.Change {
	before, known := s.table.Get(u.Instance)
	change := s.table.Merge(now, u)
	switch change {
	case member.Applied:
		rec, _ := s.table.Get(u.Instance)
		s.updates.add(rec)
		if urgent(before, rec, known) {
			s.pushUpdates()
		}
	case member.Refuted:
		s.counts("refuted")
		s.updates.add(s.table.Self())
		s.pushUpdates()
	case member.Superseded:
		s.superseded = true
	}
	return change
}

// urgent reports whether an update changes where calls may go.
func urgent(before, after member.Member, known bool) bool {
	if !known || before.Incarnation != after.Incarnation || before.Upstream != after.Upstream {
		return true
	}
	return after.State == member.Leaving || after.State == member.Dead || before.State == member.Dead
}

// Superseded reports whether another process runs under this node's instance name
// with a later incarnation.
func (s *State) Superseded() bool { return s.superseded }

func (s *State) sendProbe(p member.Probe) {
	if len(p.Via) == 0 {
		s.send(p.Target.ControlAddr, Message{Ping: &Ping{Nonce: p.Nonce}, Updates: accusation(p.Target, s.table)})
		return
	}
	for _, via := range p.Via {
		s.send(via.ControlAddr, Message{PingRequest: &PingRequest{
			Nonce: p.Nonce, Instance: p.Target.Instance, Addr: p.Target.ControlAddr,
		}})
	}
}

// accusation returns the record of a member that is suspected or listed as dead, so
// that the member refutes in its answer.
func accusation(m member.Member, t *member.Table) []member.Member {
	if rec, ok := t.Get(m.Instance); ok && (rec.State == member.Suspect || rec.State == member.Dead) {
		return []member.Member{rec}
	}
	return nil
}

func (s *State) onPing(from Sender, p *Ping, accused bool) {
	ack := Message{Ack: &Ack{Nonce: p.Nonce, Instance: s.table.Self().Instance}}
	if accused {
		ack.Updates = []member.Member{s.table.Self()}
	}
	s.send(from.Addr, ack)
}

func (s *State) onAck(a *Ack) {
	if r, ok := s.relays[a.Nonce]; ok {
		delete(s.relays, a.Nonce)
		rec, known := s.table.Get(a.Instance)
		m := Message{Ack: &Ack{Nonce: r.nonce, Instance: a.Instance}}
		if known && rec.State == member.Alive {
			m.Updates = []member.Member{rec}
		}
		s.send(r.to, m)
		return
	}
	s.detector.Ack(a.Nonce, a.Instance)
}

func (s *State) onPingRequest(now time.Time, m *Message) {
	if len(s.relays) >= maxRelays {
		s.counts("relay-limit")
		return
	}
	nonce := s.rnd.Uint64() | 1<<63 // own probes have smaller nonces
	s.relays[nonce] = relay{to: m.From.Addr, nonce: m.PingRequest.Nonce, until: now.Add(relayTimeout)}
	target := member.Member{Instance: m.PingRequest.Instance}
	s.send(m.PingRequest.Addr, Message{Ping: &Ping{Nonce: nonce}, Updates: accusation(target, s.table)})
}
