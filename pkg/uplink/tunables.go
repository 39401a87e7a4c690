package uplink

import "time"

const (
	// PartBytes is the size from which a frame is sent in parts, and the size of these
	// parts. On a link of 10 Mbit/s one part takes 13 ms.
	PartBytes = 16 << 10
	// usableShare is the share of the link's bandwidth that is used: packet headers
	// take 3 to 4%, and acknowledgements share the link.
	usableShare = 0.94
	// lookahead is how long before the end of the current transmission the next part is
	// granted, so that late timers do not leave the link idle.
	lookahead = 8 * time.Millisecond
)
