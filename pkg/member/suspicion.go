package member

import (
	"math"
	"time"
)

// SuspicionTimeout returns how long a suspect in a mesh of n members has to refute
// before it is declared dead. It grows with log n, because an update needs about log n
// gossip rounds to reach all members.
func SuspicionTimeout(n int) time.Duration {
	if n <= 2 {
		return MinSuspicionTimeout
	}
	share := math.Log2(float64(n)) / math.Log2(MaxSuspicionMembers)
	return MinSuspicionTimeout + time.Duration(min(share, 1)*float64(MaxSuspicionTimeout-MinSuspicionTimeout))
}
