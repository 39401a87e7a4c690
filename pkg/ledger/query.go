package ledger

import (
	"context"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Query reports the outcome of a call. For a running call it waits until the call or
// ctx ends. If fence is set, an id that has not arrived is fenced and reported as not
// run. If fence is not set or can't be recorded, such an id is reported as unknown, and so
// is an id covered by the watermark of its origin, whose entry may have been removed.
func (l *Ledger) Query(ctx context.Context, id CallID, fence bool) Report {
	report, done := l.lookup(id, fence)
	if done == nil {
		return report
	}
	select {
	case <-done:
		report, _ = l.lookup(id, false)
	case <-ctx.Done():
	}
	return report
}

// lookup returns the current report and, for a running call, the channel that is
// closed when the call ends.
func (l *Ledger) lookup(id CallID, fence bool) (Report, <-chan struct{}) {
	now := l.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if e, ok := l.entries[id]; ok {
		if e.state != running {
			return e.report(), nil
		}
		if e.done == nil {
			e.done = make(chan struct{})
		}
		return e.report(), e.done
	}
	limit := l.opts.MaxEntries + l.opts.MaxEntries/fenceReserveDivisor
	if !fence || l.removed.covers(id) || len(l.entries) >= limit || !l.removed.hasRoom(id.Origin) {
		return Report{Ran: reason.RanUnknown}, nil
	}
	l.add(id, &entry{state: fenced, expires: now.Add(l.opts.FenceTTL)})
	l.opts.Metrics.fences.Inc()
	return Report{Ran: reason.RanNo}, nil
}
