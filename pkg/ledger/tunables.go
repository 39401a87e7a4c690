package ledger

import "time"

const (
	// DefaultMaxEntries bounds the recorded call ids. One entry takes about 130 bytes.
	DefaultMaxEntries = 65536
	// fenceReserveDivisor sets the room for fenced ids on top of MaxEntries to
	// MaxEntries/fenceReserveDivisor. A ledger that is too full to admit calls can still
	// fence ids that have not arrived.
	fenceReserveDivisor = 8
	// DefaultMaxResponseBytes bounds the total size of the stored responses, in bytes.
	DefaultMaxResponseBytes = 4 << 20
	// MaxResponseBody is the largest body, in bytes, of a response that is stored.
	MaxResponseBody = 64 << 10
	// DefaultEntryGrace is how long an entry is kept after the deadline of its call. It
	// covers the outcome queries that the ingress node sends about a call that ended
	// late.
	DefaultEntryGrace = 10 * time.Second
	// DefaultFenceTTL is how long a fenced id is kept. It exceeds the idle timeout of
	// the peer listener, after which a delayed request can no longer arrive.
	DefaultFenceTTL = 120 * time.Second
	// watermarkTTL is how long the watermark of an origin is kept after its last
	// change.
	watermarkTTL = time.Hour
	// maxWatermarks is the number of watermarks at which ids of further origins are no
	// longer recorded. Ids recorded before may still add watermarks.
	maxWatermarks = 65536
)

// responseOverhead is the estimated size, in bytes, of the headers of a stored response.
const responseOverhead = 512
