package move

import "time"

// upstreamCounts holds the numbers of live upstreams of both versions that a decider
// knows. It is owned by the decider's goroutine.
type upstreamCounts struct {
	known     bool
	from, to  int
	noneSince time.Time
}

func (u *upstreamCounts) set(now time.Time, from, to int) {
	if to > 0 {
		u.noneSince = time.Time{}
	} else if u.noneSince.IsZero() {
		u.noneSince = now
	}
	u.known, u.from, u.to = true, from, to
}

// missing reports whether the new version has had no upstream for the given duration,
// at or after the time by which it must have one. It returns false while no upstream of
// the old version is known either: the decider may be partitioned or all upstreams may
// be restarting.
func (u *upstreamCounts) missing(now, by time.Time, lasting time.Duration) bool {
	if !u.known || u.to > 0 || u.from == 0 || now.Before(by) {
		return false
	}
	return now.Sub(u.noneSince) >= lasting
}
