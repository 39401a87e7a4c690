package boundedio

import "time"

const (
	// memoryWait is how long Grow waits for memory; large holders wait half as long. Both are longer
	// than the shortest time without progress after which holders are evicted (400 ms), so that ordinary
	// senders wait instead of being refused. The half is shorter than the time after which a peer
	// closes a link that does not respond to a ping (800 ms).
	memoryWait = time.Second
	// memoryPoll is the time between two attempts to get memory.
	memoryPoll = 10 * time.Millisecond
	// reclaimInterval is the time that evicted holders have to release their memory before others
	// are evicted.
	reclaimInterval = 20 * time.Millisecond
	// reclaimShare is the reciprocal of the share of a budget that is reclaimed at once.
	reclaimShare = 8
	// smallReserve is the reciprocal of the share of a budget that only holders of at most
	// smallHolder bytes use.
	smallReserve = 8
	smallHolder  = 64 << 10
	// FieldCost is what a header field costs the heap besides its bytes: a slot of the map, which
	// is a quarter empty on average and doubles while it grows, the slice and string headers of its
	// values, and two allocations.
	FieldCost = 160
)
