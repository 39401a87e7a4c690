package placement

import (
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// ServerStatus is what the selector knows of one server.
type ServerStatus struct {
	Node   string
	Server Server
	// Load is the last reported load; its Slots are 0 if there was no report.
	Load call.Load
	// ReportedAt is the time of the last report or announcement, AnnouncedAt that of the last
	// announcement.
	ReportedAt, AnnouncedAt time.Time
}

// Status returns the servers in no particular order.
func (s *Selector) Status() []ServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]ServerStatus, 0, len(s.nodes))
	for _, n := range s.nodes {
		out = append(out, ServerStatus{Node: n.name, Server: n.server, Load: n.load, ReportedAt: n.reportedAt, AnnouncedAt: n.announcedAt})
	}
	return out
}
