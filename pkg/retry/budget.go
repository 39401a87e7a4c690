package retry

import (
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// Budget is a token bucket for the retries of one process to one dependency. Every
// first attempt adds a fixed fraction of a token up to a cap; every retry takes one
// token. It follows the article "Give each outbound dependency a retry budget, not a
// retry count": if few calls fail, there are tokens for all retries, and an outage adds
// at most the fraction to the normal load once the cap is spent.
//
// Unlike in the article, tokens expire: the bucket holds at most minTokenLimit plus
// what the first attempts of the last burstWindow have earned. With a cap of 100 alone,
// 1,400 processes that each send one call in two seconds would start an outage with
// tokens for four attempts of every call during more than a minute.
//
// A Budget is safe for concurrent use. It is full until its first operation.
type Budget struct {
	deposit, limit int64 // in units, see unitsPerToken

	mu     sync.Mutex
	units  int64        // remaining tokens in units; guarded by mu
	recent slidingCount // first attempts; guarded by mu
}

// NewBudget returns a budget with the ratio and the cap of p. Values that are not
// positive are replaced by the defaults.
func NewBudget(p config.Retry) *Budget {
	p = withDefaults(p)
	limit := int64(p.Cap) * unitsPerToken
	return &Budget{
		deposit: int64(p.Ratio * unitsPerToken), // rounded down to stay within the ratio
		limit:   limit,
		units:   limit,
	}
}

// RecordFirst records a first attempt, which earns a fraction of a token.
func (b *Budget) RecordFirst() { b.RecordFirstAt(time.Now()) }

// RecordFirstAt records a first attempt at the given time.
func (b *Budget) RecordFirstAt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recent.add(now)
	b.units += b.deposit
	b.expire(now)
}

// TryTake takes one token and reports whether there was one.
func (b *Budget) TryTake() bool { return b.TryTakeAt(time.Now()) }

// TryTakeAt takes one token at the given time and reports whether there was one.
func (b *Budget) TryTakeAt(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	if b.units < unitsPerToken {
		return false
	}
	b.units -= unitsPerToken
	return true
}

// expire removes the tokens that exceed the current limit. The caller holds mu.
func (b *Budget) expire(now time.Time) {
	earned := int64(b.recent.count(now) * float64(b.deposit))
	b.units = min(b.units, b.limit, minTokenLimit*unitsPerToken+earned)
}

// Tokens returns the number of remaining tokens at the last operation, between 0 and
// the cap.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.units) / unitsPerToken
}
