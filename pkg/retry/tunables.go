package retry

import (
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

const (
	// MaxAttempts is the maximum number of attempts of one call, including the first.
	MaxAttempts = 4

	// DefaultRatio is the number of tokens earned by one first attempt.
	DefaultRatio = 0.1
	// DefaultCap is the maximum number of tokens in a budget.
	DefaultCap = 100
	// DefaultBase is the upper limit of the first random wait.
	DefaultBase = 200 * time.Millisecond
	// DefaultMaxWait is the maximum of the upper limit of random waits.
	DefaultMaxWait = 2 * time.Second

	// HopMargin is the time by which a node shortens the deadline of an attempt, so
	// that its own response reaches the caller before the caller's attempt times out. It
	// covers a round trip between failure domains and the processing at both ends.
	HopMargin = 10 * time.Millisecond
)

const (
	// burstWindow is the time whose first attempts limit the tokens that a process can
	// hold. At 100 calls/s they earn the default cap.
	burstWindow = 10 * time.Second
	// minTokenLimit is the number of tokens that a process can hold however few calls
	// it sends: enough for one call to use all of its attempts.
	minTokenLimit = MaxAttempts - 1
)

// unitsPerToken is the number of budget units in one token. Integer units keep the sum
// of many fractional deposits exact.
const unitsPerToken = 1_000_000_000

// withDefaults replaces fields that are not positive by the default values.
func withDefaults(p config.Retry) config.Retry {
	if p.Ratio <= 0 {
		p.Ratio = DefaultRatio
	}
	if p.Cap <= 0 {
		p.Cap = DefaultCap
	}
	if p.BaseMS <= 0 {
		p.BaseMS = int(DefaultBase / time.Millisecond)
	}
	if p.MaxWaitMS <= 0 {
		p.MaxWaitMS = int(DefaultMaxWait / time.Millisecond)
	}
	return p
}
