package framing

import "time"

const (
	// maxStatusLine and maxHeaderLine bound, in bytes, the lines that may be those of a head.
	maxStatusLine = 512
	maxHeaderLine = 64 << 10
	// awaitNext is how long to wait for bytes behind a response if they tell whether it is whole. A
	// server writes the head of a response at once, but segments may part it.
	awaitNext = 10 * time.Millisecond
	// maxRead bounds the bytes, and so the heads, that are scanned before they are judged.
	maxRead = 32 << 10
	// maxKeptBuffer, in bytes, and maxKeptHeads bound the memory that is kept from one response to the
	// next.
	maxKeptBuffer = 1 << 10
	maxKeptHeads  = 16
)
