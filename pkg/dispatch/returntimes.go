package dispatch

import (
	"math"
	"sync"
	"time"
)

// returnTimes decides when callers may return that were refused for lack of room. In an
// overload the servers' queues are always full, so the time until a queue has drained says
// nothing about the chances of a request that returns then: it is refused again like the new
// ones, and takes the place of one of them if it is not. The share of requests that were
// refused recently tells how far the load exceeds the capacity, and callers return the later
// the larger it is. It is safe for concurrent use; mu guards the map.
type returnTimes struct {
	mu        sync.Mutex
	byService map[string]*refusedShare
}

func newReturnTimes() *returnTimes { return &returnTimes{byService: make(map[string]*refusedShare)} }

// observe records the end of a client's request to the service.
func (r *returnTimes) observe(now time.Time, service string, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	share, ok := r.byService[service]
	if !ok {
		share = &refusedShare{}
		r.byService[service] = share
	}
	share.observe(now, refused)
}

// after returns the time after which a refused caller may return. drained is the time until
// a queue that refused the request has drained, latest the time after which a returning
// request would be late for the caller's deadline, within the time after which the caller gives
// up. A caller that is refused in a short burst returns within that time; one that is refused in an
// overload that lasts could only be refused again, or late. chance, from 0 to 1, spreads the callers
// over half to one and a half times the mean, so that those of a burst do not return in a wave.
func (r *returnTimes) after(now time.Time, service string, drained, latest, within time.Duration, chance float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	share, ok := r.byService[service]
	if !ok {
		return min(drained, within)
	}
	refused := share.at(now)
	further := time.Duration((0.5 + chance) * refused * float64(overloadReturnTime))
	after := max(drained, min(drained+further, latest))
	if refused < earlyReturnLimit {
		return min(after, within)
	}
	return after
}

// refusedShare estimates the share of requests that were refused recently.
type refusedShare struct {
	requests, refused float64 // decayed counts
	updatedAt         time.Time
}

func (s *refusedShare) observe(now time.Time, refused bool) {
	decay := s.decay(now)
	s.requests, s.refused, s.updatedAt = s.requests*decay+1, s.refused*decay, now
	if refused {
		s.refused++
	}
}

func (s *refusedShare) decay(now time.Time) float64 {
	return math.Exp(-max(now.Sub(s.updatedAt), 0).Seconds() / refusedShareTime.Seconds())
}

// at returns the share at the given time. Requests that were not refused are assumed in
// addition, so that a single refusal at a node with few requests does not count as an
// overload.
func (s *refusedShare) at(now time.Time) float64 {
	decay := s.decay(now)
	return s.refused * decay / (s.requests*decay + assumedRequests)
}
