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
	floors  floors
	kept    keptAnswers
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:    opts.withDefaults(),
		entries: make(map[CallID]*entry),
		expiry:  newExpiry(),
		floors:  newFloors(),
	}
}

// Admit records id as running; it must be called before a byte is sent to the
// upstream. It returns "" if the call may run, Barred if an outcome query has
// answered "not run" for it, LedgerFull if the id can't be recorded, and
// OutcomeUnknown if the id was admitted before.
func (l *Ledger) Admit(now time.Time, id CallID, deadline time.Time) reason.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if e, ok := l.entries[id]; ok {
		if e.state == barred {
			return reason.Fenced
		}
		return reason.OutcomeUnknown
	}
	if l.floors.covers(id) {
		return reason.Fenced
	}
	if len(l.entries) >= l.opts.MaxEntries || !l.floors.room(id.Origin) {
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

// Finish records the outcome of an admitted call and answers the queries that wait
// for it. A response that exceeds the bounds is recorded as run, answer lost.
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
	if a.HasResponse && len(a.Body) <= MaxAnswerBody {
		e.answer = &a
		l.kept.push(id, len(a.Body)+answerOverhead)
		l.dropAnswers()
	}
	if e.done != nil {
		close(e.done)
	}
	l.expire(now)
}

// Len returns the number of recorded ids, bars included.
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

// dropAnswers drops the oldest kept responses until the rest fit the bound. The
// outcomes stay.
func (l *Ledger) dropAnswers() {
	for l.kept.bytes > l.opts.MaxAnswerBytes {
		id := l.kept.pop()
		if e, ok := l.entries[id]; ok && e.answer != nil {
			e.answer = nil
			l.opts.Metrics.answersDropped.Inc()
		}
	}
	l.opts.Metrics.answerBytes.Set(float64(l.kept.bytes))
}

// expire removes the entries whose time has passed and raises the floors of their
// entrances. A running call is never removed.
func (l *Ledger) expire(now time.Time) {
	due := l.expiry.due(now)
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
		l.floors.raise(now, id)
	}
	l.floors.forget(now)
	l.kept.trim(l.entries)
	l.opts.Metrics.entries.Set(float64(len(l.entries)))
	l.opts.Metrics.answerBytes.Set(float64(l.kept.bytes))
}
