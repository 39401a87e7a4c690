package uplink

import (
	"sort"
	"sync"
	"time"
)

// Scheduler plans the use of one link. It is safe for concurrent use; mu guards the
// state. A rate of 0 stands for a link without a known bound.
type Scheduler struct {
	rate float64 // bytes a second

	mu sync.Mutex
	// freeAt is when the bytes granted so far have left the link.
	freeAt time.Time
	// waiting holds the tickets with a request, the most urgent first.
	waiting []*Transfer
	// pending counts bytes that are reserved or queued and not yet granted.
	pending int
	timer   *time.Timer
}

// New returns a scheduler for a link of so many bytes a second.
func New(bytesPerSecond float64) *Scheduler {
	return &Scheduler{rate: usableShare * bytesPerSecond}
}

// RecordSent accounts for a small frame that is sent without waiting.
func (s *Scheduler) RecordSent(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.occupy(time.Now(), n)
}

// Reserve counts bytes that will have to be sent until the returned function is
// called, once.
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

// NewTransfer returns a ticket for a large frame that should be sent by the given time.
// Its bytes count as queued until they are granted or the ticket is closed.
func (s *Scheduler) NewTransfer(by time.Time, size int) *Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += size
	return &Transfer{scheduler: s, by: by, remaining: size, granted: make(chan int, 1)}
}

// Backlog returns how long the link needs for everything that is reserved, queued
// or being sent.
func (s *Scheduler) Backlog(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	backlog := s.duration(s.pending)
	if s.freeAt.After(now) {
		backlog += s.freeAt.Sub(now)
	}
	return backlog
}

// Duration returns how long the link needs for n bytes.
func (s *Scheduler) Duration(n int) time.Duration { return s.duration(n) }

func (s *Scheduler) duration(n int) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / s.rate * float64(time.Second))
}

// occupy adds bytes to what the link has to carry. The caller holds mu.
func (s *Scheduler) occupy(now time.Time, n int) {
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(s.duration(n))
}

// enqueue adds a ticket behind those that are as urgent. The caller holds mu.
func (s *Scheduler) enqueue(t *Transfer) {
	at := sort.Search(len(s.waiting), func(i int) bool { return s.waiting[i].by.After(t.by) })
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

// advance grants parts while the link is about to be free, and otherwise comes back
// when it is. The caller holds mu.
func (s *Scheduler) advance(now time.Time) {
	for len(s.waiting) > 0 {
		if due := s.freeAt.Add(-lead); due.After(now) {
			s.wakeAfter(due.Sub(now))
			return
		}
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		n := t.part()
		t.remaining -= n
		s.pending -= n
		s.occupy(now, n)
		t.granted <- n // a ticket has one request at a time
	}
}

func (s *Scheduler) wakeAfter(d time.Duration) {
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
