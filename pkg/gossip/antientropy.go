package gossip

import (
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// maxMoveStatesPerMessage bounds the move states in one message.
const maxMoveStatesPerMessage = 256

func (s *State) digest(isReply bool) *Digest {
	return &Digest{Members: s.table.Digest(), MoveStates: s.moveStates.digest, IsReply: isReply}
}

// tickDigest starts a digest exchange with one random partner.
func (s *State) tickDigest(now time.Time) {
	if now.Before(s.nextDigest) {
		return
	}
	// The jitter prevents nodes that started together from staying synchronized.
	s.nextDigest = now.Add(DigestInterval - TickInterval + time.Duration(s.rnd.Int64N(int64(2*TickInterval))))
	partners := s.table.Partners()
	if len(partners) == 0 {
		return
	}
	if m, ok := s.table.Get(partners[s.rnd.IntN(len(partners))]); ok {
		s.send(m.ControlAddr, Message{Digest: s.digest(false), Progress: s.progressPart(now, false)})
	}
}

// onDigest replies to a digest if anything differs.
func (s *State) onDigest(now time.Time, m *Message) {
	differentMembers := m.Digest.Members != s.table.Digest()
	differentMoveStates := m.Digest.MoveStates != s.moveStates.digest
	if m.Digest.IsReply {
		if differentMoveStates {
			s.send(m.From.Addr, Message{MoveStates: s.moveStates.sample(s.rnd, maxMoveStatesPerMessage)})
		}
		return
	}
	var reply Message
	if differentMembers {
		s.mismatches++
		// While updates are still being sent, tables differ only temporarily.
		if len(s.updates) == 0 || s.mismatches%SyncBusyShare == 0 {
			reply.Buckets = s.table.Buckets()
		}
	}
	if differentMoveStates {
		reply.MoveStates = s.moveStates.sample(s.rnd, maxMoveStatesPerMessage)
	}
	if m.Progress != nil {
		if own := s.progressPart(now, true); own != nil && !equalProgress(own, m.Progress) {
			reply.Progress = own
		}
	}
	if !differentMembers && !differentMoveStates && reply.Progress == nil && m.From.Revision >= s.store.held.Revision {
		return
	}
	reply.Digest = s.digest(true)
	s.send(m.From.Addr, reply)
}

// onBuckets sends the records of some buckets in which the tables differ.
func (s *State) onBuckets(now time.Time, m *Message) {
	differing := s.table.Differing(m.Buckets)
	s.rnd.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	var buckets []byte
	var records []member.Member
	size := 0
	for _, bucket := range differing {
		list := briefDead(s.table.InBuckets([]uint8{bucket}))
		if n := updatesSize(list); size+n <= MaxSyncBytes && s.syncRate.AllowN(now, n) {
			buckets, records, size = append(buckets, bucket), append(records, list...), size+n
		} else {
			break
		}
	}
	if len(buckets) > 0 {
		s.send(m.From.Addr, Message{Sync: &Sync{Buckets: buckets}, Updates: records})
	}
}

// onSync replies with the records that supersede the received ones.
func (s *State) onSync(now time.Time, m *Message) {
	if m.Sync.IsReply {
		return
	}
	got := make(map[string]member.Member, len(m.Updates))
	for _, u := range m.Updates {
		got[u.Instance] = u
	}
	var later []member.Member
	size := 0
	for _, rec := range s.table.InBuckets(m.Sync.Buckets) {
		u, ok := got[rec.Instance]
		if ok && !member.Supersedes(rec, u) || !ok && rec.State == member.Dead {
			continue
		}
		if size += recordSize(&rec); size > MaxSyncBytes || !s.syncRate.AllowN(now, recordSize(&rec)) {
			break
		}
		later = append(later, rec)
	}
	if later = briefDead(later); len(later) > 0 {
		s.send(m.From.Addr, Message{Sync: &Sync{IsReply: true}, Updates: later})
	}
}

// briefDead replaces the records of dead members by their brief form. Receivers ignore
// dead records of unknown members, so they do not need the description.
func briefDead(records []member.Member) []member.Member {
	for i := range records {
		if records[i].State == member.Dead {
			records[i] = records[i].Brief()
		}
	}
	return records
}
