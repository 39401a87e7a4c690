package member

import "time"

// Parameters of failure detection (design section 7).
const (
	// ProbeInterval is the time between two probes by one node.
	ProbeInterval = time.Second
	// DirectProbeTimeout is how long a node waits for a direct acknowledgement before
	// it asks other members to probe. Round trips within a mesh take under 20 ms.
	DirectProbeTimeout = 300 * time.Millisecond
	// ProbeTimeout is how long a node waits for any acknowledgement before it
	// suspects the target.
	ProbeTimeout = 900 * time.Millisecond
	// IndirectProbes is the number of members asked to probe on a node's behalf.
	IndirectProbes = 3
	// MinSuspicionTimeout is the suspicion timeout in a mesh of one or two members.
	MinSuspicionTimeout = 3 * time.Second
	// MaxSuspicionTimeout is the suspicion timeout at MaxSuspicionMembers and above.
	MaxSuspicionTimeout = 5 * time.Second
	// MaxSuspicionMembers is the number of members at which the suspicion timeout
	// stops growing.
	MaxSuspicionMembers = 1400
	// TombstoneTTL is how long the record of a dead member is kept.
	TombstoneTTL = 10 * time.Minute
	// RegionTombstoneTTL is how long the record of a dead member is kept while its
	// region has no live member; partitions between regions last about an hour.
	RegionTombstoneTTL = 24 * time.Hour
	// ReprobeInterval is the mean time between two probes of dead members by one node.
	ReprobeInterval = 30 * time.Second
	// PauseThreshold is the gap between two ticks above which this process is assumed
	// to have been paused; it must not then suspect members whose responses it has
	// not read yet. The owner calls Tick every 100 ms.
	PauseThreshold = 500 * time.Millisecond
	// Rings is the number of hash rings that define a node's partners: one successor
	// and one predecessor on each. The connections to partners stay open, so that
	// probes and fetches cost no TLS handshake.
	Rings = 8
	// DigestBuckets is the number of buckets by which two tables are compared.
	DigestBuckets = 256
)
