package node

import "time"

// Intervals, timeouts and limits of the node.
const (
	// pollInterval is the mean time between reads of the head row, and pollJitter the
	// fraction by which it varies. With these values 1,400 nodes make 200 reads/s, a
	// tenth of the platform's capacity, and polling alone delivers a revision within
	// the limit of 12 s.
	pollInterval = 7 * time.Second
	pollJitter   = 0.2
	// platformReadShare is the maximum number of head reads per second of all nodes
	// together; above 1,400 nodes the poll interval grows to stay below it.
	platformReadShare = 200
	// joinBase, doubled at most joinDoublings times, and joinMax limit the full-jitter
	// wait between attempts to join. The doublings end at 25.6 s, before joinMax. At
	// that limit a node reads one shard of member rows every 12.8 s on average, so that
	// 1,400 nodes make 109 reads/s (at joinMax: every 15 s, 93 reads/s).
	joinBase      = 200 * time.Millisecond
	joinMax       = 30 * time.Second
	joinDoublings = 7
	// memberRowRetry is the mean wait after a failed write of the member row.
	memberRowRetry = 5 * time.Second
	// memberRowInterval is the mean interval at which a node renews its member row:
	// 1,400 nodes make 2.3 writes/s.
	memberRowInterval = 10 * time.Minute
	// memberRowsRead limits the rows read from one shard per attempt to join.
	memberRowsRead = 100
	// memberShards is the number of shards of the member rows.
	memberShards = 16
	// minRevisionRetry is the mean wait between attempts to determine the minimum revision.
	minRevisionRetry = time.Second
	// decideInterval is how often deciders evaluate their moves.
	decideInterval = time.Second
	// outcomeInterval is the mean time between reads of the outcome row of a move that
	// may be decided and whose record this node does not have yet: 1,400 nodes make 140
	// reads/s while they all wait for one record.
	outcomeInterval = 10 * time.Second
	// outcomeTimeout limits one read or write of an outcome row.
	outcomeTimeout = 5 * time.Second
	// evidenceQueue is the capacity of the queue of evidence reports for runDecide.
	evidenceQueue = 256
	// reportQueue is the capacity of the queue of unreachable instances for the failure
	// detector.
	reportQueue = 16
	// outcomeQueue is the capacity of the queue of outcomes to be written to the
	// platform.
	outcomeQueue = 64
	// maxPeerConnections is the maximum number of open connections from peers until the limits of
	// the local upstream's service are known.
	maxPeerConnections = 130
	// leavePropagation is how long a stopping node keeps its listeners open while its
	// leave announcement reaches all peers; gossip takes less than 2 s. In this time it
	// accepts calls from callers and refuses new calls from peers as not run.
	leavePropagation = 2 * time.Second
	// stateMergeDelay is the time after a join within which the move states received with
	// it are merged.
	stateMergeDelay = 500 * time.Millisecond
	// headerTimeout limits the time to read request headers on the listeners for
	// announcements, operators and metrics.
	headerTimeout = 5 * time.Second
)
