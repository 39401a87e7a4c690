package gossip

import (
	"time"

	"corianderwood.example/corianderwood/pkg/member"
	"corianderwood.example/corianderwood/pkg/reason"
)

// transferLimiter limits the full-state transfers served at once.
type transferLimiter struct {
	running map[uint64]time.Time // expiry by transfer
	last    uint64
}

// admit returns the identifier of a new transfer, or false if the limit is reached.
func (g *transferLimiter) admit(now time.Time) (uint64, bool) {
	g.clean(now)
	if len(g.running) >= MaxTransfers {
		return 0, false
	}
	g.last++
	g.running[g.last] = now.Add(TransferTimeout)
	return g.last, true
}

func (g *transferLimiter) clean(now time.Time) {
	for id, end := range g.running {
		if !now.Before(end) {
			delete(g.running, id)
		}
	}
}

// HandleJoin responds to a join request with the full state, or refuses it. The caller passes
// the identifier of the transfer to EndTransfer once the response is sent; it is 0 for a
// refusal.
func (s *State) HandleJoin(now time.Time, m Message) (response Message, transfer uint64) {
	response.From = s.sender()
	transfer, ok := s.transfers.admit(now)
	if !ok {
		s.countEvent(string(reason.TransferLimit))
		wait := TransferWait/2 + time.Duration(s.rnd.Int64N(int64(TransferWait)))
		response.Refusal = &Refusal{Reason: reason.TransferLimit, Wait: wait, Others: s.randomAddrs(JoinHints)}
		return response, 0
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
	response.FullState = full
	response.MoveStates = s.moveStates.sample(s.rnd, MaxMoveStates)
	if s.store.held.Revision > 0 {
		d, bodies := s.store.delta(0, MaxDeltaBytes)
		response.Delta, response.Bodies = &d, bodies
	}
	if m.Join != nil {
		// The joiner's record is merged after the response is built, so that the joiner
		// receives the record of its earlier process.
		s.merge(now, m.Join.Member)
	}
	return response, transfer
}

// EndTransfer removes a transfer from those counted against MaxTransfers.
func (s *State) EndTransfer(transfer uint64) { delete(s.transfers.running, transfer) }

// JoinRequest returns a message that requests the full state of a peer.
func (s *State) JoinRequest() Message {
	return Message{From: s.sender(), Join: &Join{Member: s.table.Self()}}
}

// ApplyFullState merges the full state of a peer and ends the joining phase. The records
// are not spread further.
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
	s.mergeMoveStates(m.MoveStates, m.From.Instance)
	s.onDelta(now, &m)
	s.noteRevision(now, m.From)
	s.updates.add(s.table.Self())
	s.pushUpdates()
	s.flush(now)
	return s.takePackets()
}

// SetJoined ends the joining phase of a node that has no peers.
func (s *State) SetJoined() { s.table.SetJoined() }

// randomAddrs returns the addresses of at most n random live members.
func (s *State) randomAddrs(n int) []string {
	others := s.table.Others()
	var out []string
	for _, i := range s.rnd.Perm(len(others))[:min(n, len(others))] {
		out = append(out, others[i].ControlAddr)
	}
	return out
}
