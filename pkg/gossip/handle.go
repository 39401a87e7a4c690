package gossip

import (
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// relayTimeout bounds the wait for the response to a probe on behalf of another node.
const relayTimeout = 2 * time.Second

// maxRelays bounds the pending probes on behalf of other nodes.
const maxRelays = 256

// Handle processes one best-effort message and returns the packets to send.
func (s *State) Handle(now time.Time, m Message) []Packet {
	if m.From.Instance == s.table.Self().Instance {
		return nil
	}
	suspected := s.mergePiggybacked(now, &m)
	switch {
	case m.Ping != nil:
		s.onPing(m.From, m.Ping, suspected)
	case m.Ack != nil:
		s.onAck(m.Ack)
	case m.PingRequest != nil:
		s.onPingRequest(now, &m)
	case m.Fetch != nil:
		s.onFetch(&m)
	case m.Held != nil:
		s.onHeld(now, &m)
	case m.MinRevisionPut != nil:
		s.onMinRevisionPut(now, &m)
	case m.MinRevisionStored != nil:
		s.onMinRevisionStored(&m)
	case m.MinRevisionQuery != nil:
		s.onMinRevisionQuery(&m)
	case m.MinRevisionReply != nil:
		s.onMinRevisionReply(&m)
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
	return s.takePackets()
}

// mergePiggybacked merges the parts that may be on any message. It reports whether the
// sender lists this node as suspect or dead. The sender is then sent this node's record,
// even if its suspicion is older than the record: across a partition the sender may have
// missed several refutations.
func (s *State) mergePiggybacked(now time.Time, m *Message) (suspected bool) {
	s.noteSender(m.From)
	for _, u := range m.Updates {
		before, _ := s.table.Get(u.Instance)
		if s.merge(now, u) == member.Applied && before.State == member.Dead && u.Instance == m.From.Instance {
			// The sender may be on the other side of a partition that has just ended.
			s.peer(m.From.Instance, m.From.Addr).digest = true
		}
		if u.Instance == s.table.Self().Instance && (u.State == member.Suspect || u.State == member.Dead) {
			suspected = true
		}
	}
	if suspected && m.Ping == nil {
		s.peer(m.From.Instance, m.From.Addr).self = true
	}
	s.mergeMoveStates(m.MoveStates, m.From.Instance)
	if m.Progress != nil {
		s.mergeProgress(now, m.Progress)
	}
	return suspected
}

// noteSender records the sender of a message. A sender that is listed as suspect or dead,
// or under a later incarnation as not alive, is sent its record so that it refutes.
func (s *State) noteSender(from Sender) {
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

// merge merges a member update into the table and spreads it if it is new.
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
		s.countEvent("refuted")
		s.updates.add(s.table.Self())
		s.pushUpdates()
	case member.Superseded:
		s.superseded = true
	}
	return change
}

// urgent reports whether an update changes the routing of calls.
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
		s.send(p.Target.ControlAddr, Message{Ping: &Ping{Nonce: p.Nonce}, Updates: suspicionOf(p.Target, s.table)})
		return
	}
	for _, via := range p.Via {
		s.send(via.ControlAddr, Message{PingRequest: &PingRequest{
			Nonce: p.Nonce, Instance: p.Target.Instance, Addr: p.Target.ControlAddr,
		}})
	}
}

// suspicionOf returns the record of a member if it is suspect or dead, so that the member
// refutes it in its response.
func suspicionOf(m member.Member, t *member.Table) []member.Member {
	if rec, ok := t.Get(m.Instance); ok && (rec.State == member.Suspect || rec.State == member.Dead) {
		return []member.Member{rec}
	}
	return nil
}

func (s *State) onPing(from Sender, p *Ping, suspected bool) {
	ack := Message{Ack: &Ack{Nonce: p.Nonce, Instance: s.table.Self().Instance}}
	if suspected {
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
		s.countEvent("relay-limit")
		return
	}
	nonce := s.rnd.Uint64() | 1<<63 // probes of this node itself have smaller nonces
	s.relays[nonce] = relay{to: m.From.Addr, nonce: m.PingRequest.Nonce, until: now.Add(relayTimeout)}
	target := member.Member{Instance: m.PingRequest.Instance}
	s.send(m.PingRequest.Addr, Message{Ping: &Ping{Nonce: nonce}, Updates: suspicionOf(target, s.table)})
}
