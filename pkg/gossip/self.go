package gossip

import (
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// UpdateSelf changes this node's own record and spreads it.
func (s *State) UpdateSelf(now time.Time, change func(*member.Member)) []Packet {
	s.updates.add(s.table.UpdateSelf(change))
	s.pushUpdates()
	s.flush(now)
	return s.takePackets()
}

// SetInForce records that this node has put a revision in force, and raises the minimum
// revision to it.
func (s *State) SetInForce(now time.Time, revision uint64) {
	s.table.SetInForce(s.table.Self().Instance, revision)
	s.establish(revision)
	s.progress.restart(now)
}

// ReportFailure schedules a probe of a member to which a call failed.
func (s *State) ReportFailure(instance string) { s.detector.ProbeNow(instance) }
