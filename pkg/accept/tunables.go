package accept

import "time"

const (
	// defaultEditTimeout limits one edit including its retries.
	defaultEditTimeout = 10 * time.Second
	// defaultCallTimeout limits one request to the platform. A write that takes longer
	// has an unknown outcome, which is resolved by the operation record.
	defaultCallTimeout = 3 * time.Second
	// defaultReplicateTimeout limits the wait for acknowledgements of peers.
	defaultReplicateTimeout = time.Second
	// Delays between attempts are random between zero and a limit that starts at
	// retryBase and doubles with each attempt up to retryMax (full jitter).
	retryBase = 20 * time.Millisecond
	retryMax  = time.Second
	// maxUnavailableAttempts is the number of consecutive attempts that may fail
	// because the platform is unavailable before an edit that has written no row is
	// rejected. If they are the first attempts, the delays between them add up to at
	// most 0.3 s.
	maxUnavailableAttempts = 5
	// maxParallelBodyReads limits the concurrent reads of section bodies from the
	// object store.
	maxParallelBodyReads = 8
)
