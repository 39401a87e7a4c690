package boundedio

import (
	"slices"
	"sync/atomic"
	"time"
)

// Holder is a connection for which memory is held. It is safe for concurrent use.
type Holder struct {
	held       atomic.Int64
	progressed atomic.Int64 // time since the start of the process, in nanoseconds
	waiting    atomic.Int32 // messages that wait for memory
	minStall   time.Duration
	evict      func() bool
	owner      Owner
	account    atomic.Pointer[string]
}

// processStart is the origin of the times of progress.
var processStart = time.Now()

// NewHolder adds a holder to the budget, which must not be a part of another one. If memory is short
// and the holder has made no progress for minStall, evict is called, possibly several times. It
// must make the holder release its memory soon, or return false if the holder waits for other
// things than the far end of its connection.
func (b *Budget) NewHolder(minStall time.Duration, evict func() bool) *Holder {
	return b.NewHolderFor(Owner{}, minStall, evict)
}

// NewHolderFor is NewHolder for a connection to the given owner, which Largest names.
func (b *Budget) NewHolderFor(owner Owner, minStall time.Duration, evict func() bool) *Holder {
	h := &Holder{owner: owner, evict: evict, minStall: minStall}
	h.Progress()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holders == nil {
		b.holders = make(map[*Holder]struct{})
	}
	b.holders[h] = struct{}{}
	return h
}

// Remove removes a holder that holds nothing any more.
func (b *Budget) Remove(h *Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.holders, h)
}

// Progress records that the far end has sent or received something. A body counts as progress only
// with each further buffer that it needs, so that single bytes do not keep a holder's memory.
func (h *Holder) Progress() { h.ProgressAt(time.Now()) }

// ProgressAt is Progress at a time that the caller has read already.
func (h *Holder) ProgressAt(now time.Time) { h.progressed.Store(int64(now.Sub(processStart))) }

// Held returns the number of bytes that are held for the connection.
func (h *Holder) Held() int64 { return h.held.Load() }

// Stalled returns the time since the last progress.
func (h *Holder) Stalled() time.Duration {
	return time.Since(processStart) - time.Duration(h.progressed.Load())
}

// stalledHolder is a holder that may be evicted. score is the product of its bytes and the time
// since its last progress.
type stalledHolder struct {
	*Holder
	score float64
}

// reclaim asks those holders to give memory back that have held most for the longest time without
// progress, until a share of the budget will be free. Those that wait for memory are not asked: they
// give up by themselves. reclaim leaves the holders time before it asks again.
func (b *Budget) reclaim() {
	if b.whole != nil {
		b.whole.reclaim()
		return
	}
	b.mu.Lock()
	if time.Since(b.reclaimedAt) < reclaimInterval {
		b.mu.Unlock()
		return
	}
	b.reclaimedAt = time.Now()
	stalled := make([]stalledHolder, 0, len(b.holders))
	for h := range b.holders {
		if t, held := h.Stalled(), h.Held(); t >= h.minStall && held > 0 && h.waiting.Load() == 0 {
			stalled = append(stalled, stalledHolder{h, float64(held) * t.Seconds()})
		}
	}
	b.mu.Unlock()
	slices.SortFunc(stalled, func(x, y stalledHolder) int {
		switch {
		case x.score > y.score:
			return -1
		case x.score < y.score:
			return 1
		}
		return 0
	})
	wanted := b.limit / reclaimShare
	for _, h := range stalled {
		if wanted <= 0 {
			return
		}
		if held := h.Held(); h.evict() {
			wanted -= held
		}
	}
}
