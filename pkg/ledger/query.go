package ledger

import (
	"context"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Query reports what became of a call. For a running call it waits until the call
// ends or ctx does. With bar, an id that never arrived is barred for good and
// reported as not run; without, or if the bar can't be recorded, it is unknown.
func (l *Ledger) Query(ctx context.Context, id CallID, bar bool) Report {
	report, done := l.look(id, bar)
	if done == nil {
		return report
	}
	select {
	case <-done:
		report, _ = l.look(id, false)
	case <-ctx.Done():
	}
	return report
}

// look returns the report of the present moment and, for a running call, the
// channel that is closed when it ends.
func (l *Ledger) look(id CallID, bar bool) (Report, <-chan struct{}) {
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
	limit := l.opts.MaxEntries + l.opts.MaxEntries/barReserve
	if !bar || l.floors.covers(id) || len(l.entries) >= limit || !l.floors.room(id.Origin) {
		return Report{Ran: reason.RanUnknown}, nil
	}
	l.add(id, &entry{state: barred, expires: now.Add(l.opts.FenceTTL)})
	l.opts.Metrics.bars.Inc()
	return Report{Ran: reason.RanNo}, nil
}
