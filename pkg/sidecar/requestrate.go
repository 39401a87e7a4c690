package sidecar

import "sync/atomic"

// requestRate counts requests by second. It is safe for concurrent use. Each element holds a second
// in its upper and the count of that second in its lower half, so that a request takes one atomic
// operation.
type requestRate [usageSeconds]atomic.Uint64

func (r *requestRate) add(second uint32) {
	slot := &r[second%usageSeconds]
	for {
		old := slot.Load()
		if uint32(old>>32) == second {
			slot.Add(1)
			return
		}
		if uint32(old>>32) > second || slot.CompareAndSwap(old, uint64(second)<<32|1) {
			return // a request that is counted very late is left out
		}
	}
}

// perSecond returns the mean rate in the last usageWindow whole seconds before the given one.
func (r *requestRate) perSecond(second uint32) float64 {
	sum := uint32(0)
	for i := range r {
		value := r[i].Load()
		if at := uint32(value >> 32); at < second && at+usageWindow >= second {
			sum += uint32(value)
		}
	}
	return float64(sum) / usageWindow
}
