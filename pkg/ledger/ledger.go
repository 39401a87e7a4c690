package ledger

import (
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Ledger records call ids and outcomes. It is safe for concurrent use; mu guards
// all of its state.
type Ledger struct {
	opts Options

	mu      sync.Mutex
	entries map[CallID]*entry
	expiry  expiry
	removed watermarks
	stored  storedResponses
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:    opts.withDefaults(),
		entries: make(map[CallID]*entry),
		expiry:  newExpiry(),
		removed: newWatermarks(),
	}
}

// Admit records id as running. It must be called before a byte is sent to the
// upstream. It returns "" if the call may run, Fenced if an outcome query has
// reported the id as not run or the watermark of its origin covers it, LedgerFull if the
// id can't be recorded, and OutcomeUnknown if the id was admitted before.
func (l *Ledger) Admit(now time.Time, id CallID, deadline time.Time) reason.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if e, ok := l.entries[id]; ok {
		if e.state == fenced {
			return reason.Fenced
		}
		return reason.OutcomeUnknown
	}
	if l.removed.covers(id) {
		return reason.Fenced
	}
	if len(l.entries) >= l.opts.MaxEntries || !l.removed.hasRoom(id.Origin) {
		l.opts.Metrics.refused.Inc()
		return reason.LedgerFull
	}
	expires := deadline.Add(l.opts.EntryGrace)
	if earliest := now.Add(l.opts.EntryGrace); expires.Before(earliest) {
		expires = earliest
	}
	l.add(id, &entry{state: running, expires: expires})
	return ""
}

// Finish records the outcome of an admitted call and unblocks the queries that wait
// for it. If the body exceeds MaxResponseBody, only the fact that the call ran is stored.
// An id that is not running is ignored.
func (l *Ledger) Finish(now time.Time, id CallID, a Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok || e.state != running {
		return
	}
	e.state, e.ran = finished, a.Ran
	if e.ran == "" {
		e.ran = reason.RanYes
	}
	if a.HasResponse && len(a.Body) <= MaxResponseBody {
		e.response = &a
		l.stored.push(id, len(a.Body)+responseOverhead)
		l.dropResponses()
	}
	if e.done != nil {
		close(e.done)
	}
	l.expire(now)
}

// Len returns the number of recorded ids, including fenced ones.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

func (l *Ledger) add(id CallID, e *entry) {
	l.entries[id] = e
	l.expiry.add(id, e.expires)
	l.opts.Metrics.entries.Set(float64(len(l.entries)))
}

// dropResponses drops the oldest stored responses until the rest fit into
// MaxResponseBytes. Whether the calls ran stays recorded.
func (l *Ledger) dropResponses() {
	for l.stored.bytes > l.opts.MaxResponseBytes {
		id := l.stored.pop()
		if e, ok := l.entries[id]; ok && e.response != nil {
			e.response = nil
			l.opts.Metrics.responsesDropped.Inc()
		}
	}
	l.opts.Metrics.responseBytes.Set(float64(l.stored.bytes))
}

// expire removes the expired entries and raises the watermarks of their
// origins. The entry of a running call is extended instead.
func (l *Ledger) expire(now time.Time) {
	due := l.expiry.takeDue(now)
	if len(due) == 0 {
		return
	}
	for _, id := range due {
		e, ok := l.entries[id]
		if !ok {
			continue
		}
		if e.state == running {
			e.expires = now.Add(l.opts.EntryGrace)
			l.expiry.add(id, e.expires)
			continue
		}
		delete(l.entries, id)
		l.removed.raise(now, id)
	}
	l.removed.evict(now)
	l.stored.trim(l.entries)
	l.opts.Metrics.entries.Set(float64(len(l.entries)))
	l.opts.Metrics.responseBytes.Set(float64(l.stored.bytes))
}
