package placement

import (
	"math"
	"time"
)

// unreportedRequests counts the requests that were sent to a server since its last load
// report. The count decays, since requests that end by their deadline or are canceled bring
// no report: without the decay, a server that hung once would look full until it is the only
// one left.
type unreportedRequests struct {
	count     float64
	updatedAt time.Time
}

// add counts one more request.
func (u *unreportedRequests) add(now time.Time) {
	u.count = u.at(now) + 1
	u.updatedAt = now
}

// at returns the count at the given time.
func (u *unreportedRequests) at(now time.Time) float64 {
	age := max(now.Sub(u.updatedAt), 0)
	return u.count * math.Exp(-age.Seconds()/unreportedDecayTime.Seconds())
}
