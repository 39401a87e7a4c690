package uplink

import "time"

// Transfer is a large frame that is sent in parts. One goroutine uses it; the
// scheduler's lock guards its fields.
type Transfer struct {
	scheduler *Scheduler
	by        time.Time // order of urgency
	remaining int       // bytes that were not granted yet
	granted   chan int
}

// Request asks to send the next part. It must not be called before the part
// requested earlier was granted.
func (t *Transfer) Request() {
	s := t.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.remaining > 0 {
		s.enqueue(t)
		s.advance(time.Now())
	}
}

// Granted receives the size of the next part when it may be sent.
func (t *Transfer) Granted() <-chan int { return t.granted }

// Close gives up what was not granted.
func (t *Transfer) Close() {
	s := t.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(t)
	s.pending -= t.remaining
	t.remaining = 0
}

// part is the size of the next part.
func (t *Transfer) part() int { return min(t.remaining, PartBytes) }
