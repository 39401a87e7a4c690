package ledger

import "time"

const (
	// DefaultMaxEntries bounds the recorded call ids. One entry takes about 130 bytes.
	DefaultMaxEntries = 65536
	// barReserve is the share of MaxEntries kept on top for bars, so that a ledger
	// that refuses calls can still give true answers about earlier ones.
	barReserve = 8
	// DefaultMaxAnswerBytes bounds the bodies of all kept answers.
	DefaultMaxAnswerBytes = 4 << 20
	// MaxAnswerBody is the largest body, in bytes, of an answer that is kept.
	MaxAnswerBody = 64 << 10
	// DefaultEntryGrace is how long an entry outlives the deadline of its call. It covers
	// the outcome queries that an entrance sends about a call that ended late.
	DefaultEntryGrace = 10 * time.Second
	// DefaultFenceTTL is how long a bar is kept. It exceeds the idle timeout of the
	// peer listener, after which a delayed request can no longer arrive.
	DefaultFenceTTL = 120 * time.Second
	// floorKeep is how long the floor of an entrance outlives its last change.
	floorKeep = time.Hour
	// maxFloors bounds the number of entrance incarnations with a floor.
	maxFloors = 65536
)

// answerOverhead is the estimated size, in bytes, of the headers of a kept answer.
const answerOverhead = 512
