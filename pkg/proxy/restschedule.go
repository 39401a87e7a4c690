package proxy

import "time"

// restSchedule decides when a connection rests. After the copy of a response was taken for the
// next one, each response reaches the request that follows its own, for as long as requests
// follow at once. While the connection rests, the overdue response arrives and is found. The
// owner of the connection guards it.
type restSchedule struct {
	since time.Time // end of the last rest
	// named is set if the last response named its exchange: such a connection needs no rest.
	named bool
}

// isResting reports whether a connection that is idle since the given time must stay idle.
func (r *restSchedule) isResting(now, idleSince time.Time) bool {
	return !r.named && idleSince.Sub(r.since) >= restAfter && now.Sub(idleSince) < restTime
}

// taken records that an idle connection is used again.
func (r *restSchedule) taken(now, idleSince time.Time) {
	if now.Sub(idleSince) >= restTime {
		r.since = now
	}
}
