package downlink

import (
	"slices"
	"sort"
	"time"
)

// Schedule grants announced transfers in the order of their soft deadlines. It is not safe for
// concurrent use. Every transfer gets exactly one decision unless it is released before.
type Schedule struct {
	linkRate float64 // bytes per second; 0 means unknown
	// freeAt is when the granted bytes have arrived if they take the usable share of the link.
	freeAt   time.Time
	waiting  []*Transfer // earliest soft deadline first
	granted  []*Transfer
	inFlight int // bytes of granted
	queued   int // bytes of waiting
	expired  []*Transfer
}

// NewSchedule returns a Schedule for a link with the given bandwidth. If that is 0, it is unknown,
// and all transfers are granted at once.
func NewSchedule(bytesPerSecond float64) *Schedule { return &Schedule{linkRate: bytesPerSecond} }

// Limited reports whether transfers may have to wait.
func (s *Schedule) Limited() bool { return s.linkRate > 0 }

// Waiting returns the bytes that are announced and not granted.
func (s *Schedule) Waiting() int { return s.queued }

// Announce adds a transfer and returns the decisions that can be made now. The transfer is refused
// if its response, or that of another waiting transfer because of it, could not be on time.
func (s *Schedule) Announce(now time.Time, t *Transfer) []Decision {
	if !s.Limited() {
		return []Decision{{Transfer: t, Granted: true}}
	}
	t.Bytes = max(t.Bytes, minBytes)
	out := s.Advance(now)
	if len(s.waiting) >= maxWaiting {
		return append(out, refusal(t, maxRetryAfter))
	}
	at := sort.Search(len(s.waiting), func(i int) bool { return s.waiting[i].SoftDeadline.After(t.SoftDeadline) })
	s.waiting = slices.Insert(s.waiting, at, t)
	s.queued += t.Bytes
	if late := s.lateness(now, at); late > 0 {
		s.removeWaiting(at)
		return append(out, refusal(t, late))
	}
	t.state = waiting
	return append(out, s.Advance(now)...)
}

// Release removes a transfer that has arrived, or that is canceled or given up, and returns the
// decisions that this allows.
func (s *Schedule) Release(now time.Time, t *Transfer, arrived bool) []Decision {
	switch t.state {
	case waiting:
		s.removeWaiting(slices.Index(s.waiting, t))
	case granted:
		s.removeGranted(t, arrived)
	}
	return s.Advance(now)
}

// Advance returns the decisions that are due: grants, and refusals of waiting transfers that can no
// longer be on time because earlier ones took longer than expected.
func (s *Schedule) Advance(now time.Time) []Decision {
	var out []Decision
	for _, t := range slices.Clone(s.granted) {
		if !now.Before(t.expires) {
			s.removeGranted(t, false)
			s.expired = append(s.expired, t)
		}
	}
	for len(s.waiting) > 0 {
		t := s.waiting[0]
		if late := now.Add(s.duration(t.Bytes)).Sub(t.latestArrival()); late > 0 {
			s.removeWaiting(0)
			out = append(out, refusal(t, late))
			continue
		}
		if !s.hasRoom(t) || now.Before(s.nextGrant()) {
			break
		}
		s.removeWaiting(0)
		s.grant(now, t)
		out = append(out, Decision{Transfer: t, Granted: true})
	}
	return out
}

// TakeExpired returns the transfers whose grants have expired since the last call.
func (s *Schedule) TakeExpired() []*Transfer {
	expired := s.expired
	s.expired = nil
	return expired
}

// Next returns when Advance must be called next, or false if not before another event.
func (s *Schedule) Next() (time.Time, bool) {
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, t := range s.granted {
		consider(t.expires)
	}
	if len(s.waiting) > 0 {
		t := s.waiting[0]
		// The nanosecond makes the transfer late when Advance is called.
		consider(t.latestArrival().Add(-s.duration(t.Bytes)).Add(1))
		if s.hasRoom(t) {
			consider(s.nextGrant())
		}
	}
	return next, !next.IsZero()
}

func (s *Schedule) grant(now time.Time, t *Transfer) {
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(s.duration(t.Bytes))
	onIdleLink := time.Duration(float64(t.Bytes) / s.linkRate * float64(time.Second))
	t.state, t.arrives, t.expires = granted, s.freeAt, now.Add(onIdleLink+grantMargin)
	s.granted = append(s.granted, t)
	s.inFlight += t.Bytes
}

// hasRoom reports whether the bytes in flight allow the transfer; one transfer is always allowed.
func (s *Schedule) hasRoom(t *Transfer) bool {
	return len(s.granted) == 0 || float64(s.inFlight+t.Bytes) <= s.linkRate*inFlightTime.Seconds()
}

// nextGrant returns when the usable share of the link allows the next grant.
func (s *Schedule) nextGrant() time.Time { return s.freeAt.Add(-inFlightTime) }

// lateness returns by how much the waiting transfers from the given position on would be late at
// most; 0 or less if all can be on time.
func (s *Schedule) lateness(now time.Time, from int) time.Duration {
	arrival := now
	for _, t := range s.granted { // what is overdue may still have to arrive
		if !t.arrives.After(now) {
			arrival = arrival.Add(s.duration(t.Bytes))
		}
	}
	if s.freeAt.After(arrival) {
		arrival = s.freeAt
	}
	var worst time.Duration
	for i, t := range s.waiting {
		arrival = arrival.Add(s.duration(t.Bytes))
		if i >= from {
			worst = max(worst, arrival.Sub(t.latestArrival()))
		}
	}
	return worst
}

// duration returns how long n bytes take at the usable share of the link.
func (s *Schedule) duration(n int) time.Duration {
	return time.Duration(float64(n) / (usableShare * s.linkRate) * float64(time.Second))
}

func (s *Schedule) removeWaiting(at int) {
	t := s.waiting[at]
	t.state = none
	s.queued -= t.Bytes
	s.waiting = slices.Delete(s.waiting, at, at+1)
}

// removeGranted gives the place of a granted transfer back, and its time on the link unless it has
// arrived.
func (s *Schedule) removeGranted(t *Transfer, arrived bool) {
	t.state = none
	s.inFlight -= t.Bytes
	s.granted = slices.DeleteFunc(s.granted, func(other *Transfer) bool { return other == t })
	if !arrived {
		s.freeAt = s.freeAt.Add(-s.duration(t.Bytes))
	}
}

func refusal(t *Transfer, late time.Duration) Decision {
	return Decision{Transfer: t, RetryAfter: min(max(late, minRetryAfter), maxRetryAfter)}
}
