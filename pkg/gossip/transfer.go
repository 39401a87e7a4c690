package gossip

import (
	"time"

	"corianderwood.example/corianderwood/pkg/member"
	"corianderwood.example/corianderwood/pkg/reason"
)

// transferGate admits full-state transfers.
type transferGate struct {
	running map[uint64]time.Time // end of the place by transfer
	last    uint64
}

func (g *transferGate) admit(now time.Time) (uint64, bool) {
	g.clean(now)
	if len(g.running) >= MaxTransfers {
		return 0, false
	}
	g.last++
	g.running[g.last] = now.Add(TransferTimeout)
	return g.last, true
}

func (g *transferGate) clean(now time.Time) {
	for id, end := range g.running {
		if !now.Before(end) {
			delete(g.running, id)
		}
	}
}

// HandleJoin answers a join request with the full state, or refuses it. The caller
// passes the transfer to EndTransfer once the answer is sent; it is 0 for a refusal.
func (s *State) HandleJoin(now time.Time, m Message) (answer Message, transfer uint64) {
	answer.From = s.sender()
	transfer, ok := s.gate.admit(now)
	if !ok {
		s.counts(string(reason.TransferLimit))
		wait := TransferWait/2 + time.Duration(s.rnd.Int64N(int64(TransferWait)))
		answer.Refusal = &Refusal{Reason: reason.TransferLimit, Wait: wait, Others: s.someAddrs(JoinHints)}
		return answer, 0
	}
	full := &FullState{}
	for _, rec := range s.table.Members() {
		if rec.State != member.Dead {
			full.Members = append(full.Members, rec)
		}
	}
	dead, ages := s.table.Tombstones(now)
	full.Dead = dead
	for _, age := range ages {
		full.DeadFor = append(full.DeadFor, age.Milliseconds())
	}
	answer.FullState = full
	answer.MoveStates = s.marks.some(s.rnd, MaxMoveStates)
	if s.store.held.Revision > 0 {
		d, bodies := s.store.delta(0, MaxDeltaBytes)
		answer.Delta, answer.Bodies = &d, bodies
	}
	if m.Join != nil {
		// The record is taken over after the answer is made, so that the joiner sees
		// the incarnation of its earlier process.
		s.merge(now, m.Join.Member)
	}
	return answer, transfer
}

// EndTransfer frees the place of a transfer.
func (s *State) EndTransfer(transfer uint64) { delete(s.gate.running, transfer) }

// JoinRequest returns the request for the full state of a peer.
func (s *State) JoinRequest() Message {
	return Message{From: s.sender(), Join: &Join{Member: s.table.Self()}}
}

// ApplyFullState takes the full state of a peer over. The records are not spread again.
func (s *State) ApplyFullState(now time.Time, m Message) []Packet {
	if m.FullState != nil {
		for _, rec := range m.FullState.Members {
			s.table.Merge(now, rec)
		}
		for i, rec := range m.FullState.Dead {
			if rec.Instance == s.table.Self().Instance {
				s.table.Merge(now, rec)
			} else if i < len(m.FullState.DeadFor) {
				s.table.Restore(now, rec, time.Duration(m.FullState.DeadFor[i])*time.Millisecond)
			}
		}
	}
	s.table.SetJoined()
	s.mergeMarks(m.MoveStates, m.From.Instance)
	s.onDelta(now, &m)
	s.noteRevision(now, m.From)
	s.updates.add(s.table.Self())
	s.pushUpdates()
	s.flush(now)
	return s.take()
}

// SetJoined ends the joining phase of a node that has no peers to join.
func (s *State) SetJoined() { s.table.SetJoined() }

// someAddrs returns the addresses of at most n random live members.
func (s *State) someAddrs(n int) []string {
	others := s.table.Others()
	var out []string
	for _, i := range s.rnd.Perm(len(others))[:min(n, len(others))] {
		out = append(out, others[i].ControlAddr)
	}
	return out
}
