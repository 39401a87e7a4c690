package uplink

import (
	"sort"
	"sync"
	"time"
)

// Scheduler schedules the transmission of frames on one link. It is safe for concurrent
// use; mu guards the state. A rate of 0 means that the bandwidth of the link is
// unknown; transmission is then not delayed.
type Scheduler struct {
	rate float64 // bytes per second

	mu sync.Mutex
	// freeAt is when the link has transmitted all bytes granted so far.
	freeAt time.Time
	// waiting holds the transfers with a pending request, earliest deadline first.
	waiting []*Transfer
	// pending counts bytes that are reserved or queued but not yet granted.
	pending int
	timer   *time.Timer
}

// New returns a Scheduler for a link with the given bandwidth.
func New(bytesPerSecond float64) *Scheduler {
	return &Scheduler{rate: usableShare * bytesPerSecond}
}

// RecordSent accounts for n bytes of small frames that are sent without scheduling.
func (s *Scheduler) RecordSent(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.occupy(time.Now(), n)
}

// Reserve adds n bytes to the backlog for a later transmission, until release is
// called. release must be called exactly once.
func (s *Scheduler) Reserve(n int) (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += n
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pending -= n
	}
}

// NewTransfer returns a Transfer for a large frame that should be sent by the deadline.
// Its bytes count towards the backlog until they are granted or the Transfer is closed.
func (s *Scheduler) NewTransfer(deadline time.Time, size int) *Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += size
	return &Transfer{scheduler: s, deadline: deadline, remaining: size, granted: make(chan int, 1)}
}

// Backlog returns how long the link needs to transmit all reserved, queued and granted
// bytes.
func (s *Scheduler) Backlog(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	backlog := s.duration(s.pending)
	if s.freeAt.After(now) {
		backlog += s.freeAt.Sub(now)
	}
	return backlog
}

// Duration returns how long the link needs to transmit n bytes; 0 if its bandwidth is
// unknown.
func (s *Scheduler) Duration(n int) time.Duration { return s.duration(n) }

func (s *Scheduler) duration(n int) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / s.rate * float64(time.Second))
}

// occupy adds n bytes to those that the link has to transmit. The caller holds mu.
func (s *Scheduler) occupy(now time.Time, n int) {
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(s.duration(n))
}

// enqueue inserts a transfer behind those with the same or an earlier deadline. The
// caller holds mu.
func (s *Scheduler) enqueue(t *Transfer) {
	at := sort.Search(len(s.waiting), func(i int) bool { return s.waiting[i].deadline.After(t.deadline) })
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[at+1:], s.waiting[at:])
	s.waiting[at] = t
}

func (s *Scheduler) remove(t *Transfer) {
	for i, w := range s.waiting {
		if w == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// advance grants parts until the link is busy beyond the lookahead, and then schedules
// the next call. The caller holds mu.
func (s *Scheduler) advance(now time.Time) {
	for len(s.waiting) > 0 {
		if due := s.freeAt.Add(-lookahead); due.After(now) {
			s.advanceAfter(due.Sub(now))
			return
		}
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		n := t.part()
		t.remaining -= n
		s.pending -= n
		s.occupy(now, n)
		t.granted <- n // does not block: a transfer has at most one pending request
	}
}

func (s *Scheduler) advanceAfter(d time.Duration) {
	if s.timer != nil {
		s.timer.Reset(d)
		return
	}
	s.timer = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance(time.Now())
	})
}
