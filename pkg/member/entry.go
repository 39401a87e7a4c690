package member

import "time"

// entry is the table's record of one other member.
type entry struct {
	m    Member
	hash uint64
	// since is the time of the last change of state or incarnation.
	since time.Time
	// expires is the time at which the member is declared dead; zero if no suspicion
	// timeout runs.
	expires time.Time
}

func (e *entry) live() bool { return e.m.State != Dead }
