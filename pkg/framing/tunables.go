package framing

import "time"

const (
	// maxStatusLine and maxHead bound, in bytes, the text that may be the head of a response.
	maxStatusLine = 512
	maxHead       = 16 << 10
	// maxHeads is the number of heads within one response from which it no longer counts as whole.
	maxHeads = 64
	// restOfStatusLine is how long to wait for the rest of a status line that seems to begin at
	// the end of a response. A server writes its head at once, but segments may part it.
	restOfStatusLine = 10 * time.Millisecond
)
