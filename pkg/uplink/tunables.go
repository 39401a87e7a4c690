package uplink

import "time"

const (
	// PartBytes is the size from which a frame counts as large, and of the parts in
	// which it is sent. On a link of 10 Mbit/s one part takes 13 ms.
	PartBytes = 16 << 10
	// usableShare is the part of the link's rate that is used; headers of packets
	// take 3 to 4% and acknowledgements share the link.
	usableShare = 0.94
	// lead is how early a part is granted before the previous one has left the
	// link, so that late timers leave no gap.
	lead = 8 * time.Millisecond
)
