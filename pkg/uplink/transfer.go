package uplink

import "time"

// Transfer is a large frame that is sent in parts. It must be used by one goroutine only
// and be closed in the end; the scheduler's lock guards its fields.
type Transfer struct {
	scheduler *Scheduler
	deadline  time.Time // earlier deadlines are granted first
	remaining int       // bytes not yet granted
	granted   chan int
}

// Request requests the next part. It must not be called again before the requested part
// was granted.
func (t *Transfer) Request() {
	s := t.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.remaining > 0 {
		s.enqueue(t)
		s.advance(time.Now())
	}
}

// Granted returns the channel that receives the size of the next part when it may be
// sent.
func (t *Transfer) Granted() <-chan int { return t.granted }

// Close removes the bytes that were not granted from the backlog.
func (t *Transfer) Close() {
	s := t.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(t)
	s.pending -= t.remaining
	t.remaining = 0
}

// part returns the size of the next part.
func (t *Transfer) part() int { return min(t.remaining, PartBytes) }
