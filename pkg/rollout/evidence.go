package rollout

// Evidence holds the response counts of one server during a rollout order, as counted
// by one process of the node next to it. The counts never decrease.
type Evidence struct {
	Service string `cbor:"1,keyasint"`
	// Order is the revision of the order.
	Order       uint64 `cbor:"2,keyasint"`
	Version     string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
	// Process identifies the start of the counting node; a restarted node counts from
	// 0.
	Process uint64 `cbor:"6,keyasint"`
	// Routes holds the counts by route.
	Routes map[string]RouteEvidence `cbor:"5,keyasint"`
	// ElapsedMs is the sender's time since the start of the order in milliseconds, by
	// its monotonic clock. A restarted node computes the start of the order from it.
	ElapsedMs int64 `cbor:"7,keyasint,omitempty"`
}

// latencyBuckets is the number of histogram buckets. Bucket i counts latencies of at
// most 2^(i/2) ms that exceed those of the bucket before it; the last one has no upper
// limit.
const latencyBuckets = 28

// RouteEvidence counts the responses of one route at one server.
type RouteEvidence struct {
	_       struct{} `cbor:",toarray"`
	Total   uint32
	Failed  uint32
	Latency [latencyBuckets]uint32
}
