package quota

import (
	"math"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/account"
)

// bucket is a coordinator's token bucket of one account. The sum of its tokens and of those that
// nodes hold stays at most its depth, as if the held tokens were still in the bucket.
type bucket struct {
	account account.Account
	// rate and depth are those of the stripe if all shares are leased.
	rate, depth float64
	level       float64
	updated     Time
	purged      Time
	held        int // tokens in holdings
	holdings    map[Process]*holding
	// exceededSince is the time from which all grants found the demand beyond the limit; 0 if the
	// last one did not.
	exceededSince Time
	removed       bool // the configuration no longer has a limit for the account
}

func newBucket(now Time, a account.Account, b Bounds, stripe int) *bucket {
	out := &bucket{updated: now, holdings: make(map[Process]*holding)}
	out.configure(a, b, stripe)
	return out
}

func (b *bucket) configure(a account.Account, bounds Bounds, stripe int) {
	p := bounds.portion(a, stripe)
	b.account, b.rate, b.depth, b.removed = a, a.RatePerSecond*p, bounds.depth(a)*p, false
}

func (b *bucket) remove() { b.rate, b.depth, b.level, b.removed = 0, 0, 0, true }

// advance adds the tokens emitted since the last call, if coverage is the part of the shares that
// was leased all the time. Tokens that expire or are used meanwhile make room from now on only.
func (b *bucket) advance(now Time, coverage float64) {
	if now < b.updated {
		return
	}
	emitted := b.rate * coverage * now.Sub(b.updated).Seconds()
	b.level = max(min(b.level+emitted, b.depth*coverage-float64(b.held)), 0)
	b.updated = now
	if now.Sub(b.purged) >= purgeInterval {
		b.purge(now)
	}
}

func (b *bucket) purge(now Time) {
	b.purged, b.held = now, 0
	for p, h := range b.holdings {
		h.purge(now)
		n := h.tokens()
		b.held += n
		if n == 0 && now.Sub(h.wantedAt) > maxInterval {
			delete(b.holdings, p)
		}
	}
}

// confirm processes what a node says that it has left of the tokens granted to it.
func (b *bucket) confirm(p Process, received uint64, d Demand) {
	h, ok := b.holdings[p]
	if !ok {
		return
	}
	before := h.tokens()
	b.level += float64(h.confirm(received, d.Held, d.Returned))
	b.held += h.tokens() - before
}

// grant gives out up to the wanted number of tokens, at most the node's fair part.
func (b *bucket) grant(now Time, p Process, number uint64, wanted int, life time.Duration) int {
	h, ok := b.holdings[p]
	if !ok {
		if wanted == 0 {
			return 0
		}
		h = &holding{}
		b.holdings[p] = h
	}
	h.wanted, h.wantedAt = wanted, now
	granted := min(wanted, b.fairPart(now, wanted))
	if granted <= 0 {
		return 0
	}
	h.wanted -= granted
	h.grants = append(h.grants, grantRecord{number, granted, now.Add(life)})
	b.level -= float64(granted)
	b.held += granted
	return granted
}

// fairPart returns the node's part of the bucket by max-min fairness among the nodes that lack
// tokens, but at least one token if there is one.
func (b *bucket) fairPart(now Time, wanted int) int {
	available := math.Floor(b.level + 1e-9)
	if available < 1 {
		return 0
	}
	var wants []int
	sum := 0
	for _, h := range b.holdings {
		if h.wanted > 0 && now.Sub(h.wantedAt) <= maxInterval {
			wants = append(wants, h.wanted)
			sum += h.wanted
		}
	}
	if float64(sum) <= available {
		return wanted
	}
	slices.Sort(wants)
	left := available
	for i, w := range wants {
		part := left / float64(len(wants)-i)
		if float64(w) >= part {
			return max(int(part), 1)
		}
		left -= float64(w)
	}
	return wanted
}

// emptyFor returns the time until all nodes that lack tokens now could have got them, or 0 if
// the bucket has a token.
func (b *bucket) emptyFor(now Time, coverage float64) time.Duration {
	if b.level >= 1 {
		return 0
	}
	rate := b.rate * coverage
	if rate <= 0 {
		return maxEmptyFor
	}
	if b.exceededSince > 0 && now.Sub(b.exceededSince) >= lastingExcess {
		// New requests take all that is emitted, so that no request that returns has a better
		// chance than now.
		return maxEmptyFor
	}
	seconds := (max(b.lacking(now), 1) - b.level) / rate
	return time.Duration(min(seconds, maxEmptyFor.Seconds()) * float64(time.Second))
}

// lacking returns the number of tokens that nodes lack.
func (b *bucket) lacking(now Time) float64 {
	sum := 0
	for _, h := range b.holdings {
		if now.Sub(h.wantedAt) <= maxInterval {
			sum += h.wanted
		}
	}
	return float64(sum)
}

// exceeded reports whether the demand exceeds the whole limit. Nodes without tokens lack
// aheadTime of their demand. While the coordinator starts, all nodes are without tokens.
func (b *bucket) exceeded(now Time, starts bool) bool {
	if starts || b.lacking(now) < max(b.rate*aheadTime.Seconds(), minExceeding) {
		b.exceededSince = 0
		return false
	}
	if b.exceededSince == 0 {
		b.exceededSince = now
	}
	return true
}
