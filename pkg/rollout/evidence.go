package rollout

// Evidence is what one server did during an order, as one process beside it has
// counted. Counts only grow.
type Evidence struct {
	Service string `cbor:"1,keyasint"`
	// Order is the revision of the order.
	Order       uint64 `cbor:"2,keyasint"`
	Version     string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
	// Process is the start of the node that counted; a restarted one begins anew.
	Process uint64 `cbor:"6,keyasint"`
	// Routes holds the counts by route.
	Routes map[string]RouteEvidence `cbor:"5,keyasint"`
	// ElapsedMs is the sender's time since the order, by its steady clock, in
	// milliseconds; a node that was restarted learns the start of the order from it.
	ElapsedMs int64 `cbor:"7,keyasint,omitempty"`
}

// latencyBuckets is the number of buckets; bucket i holds latencies of at most
// 2^(i/2) ms, the last one all others.
const latencyBuckets = 28

// RouteEvidence counts the outcomes of one route at one server.
type RouteEvidence struct {
	_       struct{} `cbor:",toarray"`
	Total   uint32
	Failed  uint32
	Latency [latencyBuckets]uint32
}
