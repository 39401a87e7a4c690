package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/account"
)

// Entry holds the tokens of one account at a node. It is safe for concurrent use. Each account
// has a lock of its own, so that requests of different accounts do not wait for each other.
type Entry struct {
	account  account.Account
	portions [Stripes]float64
	// active is set while the account has tokens or demand; reports skip other accounts.
	active atomic.Bool

	mu      sync.Mutex
	demand  demandRate
	stocks  [Stripes]stock
	waiting int
	granted chan struct{} // closed when tokens arrive; nil if no request waits
}

func newEntry(a account.Account, b Bounds, period uint64) *Entry {
	e := &Entry{account: a}
	for i := range e.portions {
		e.portions[i] = b.portion(a, i)
		e.stocks[i].period = period
	}
	return e
}

// moveTo drops all tokens, and passes the demand on to the entry that replaces this one, if any.
func (e *Entry) moveTo(replacement *Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.stocks {
		e.stocks[i] = stock{}
	}
	if e.granted != nil {
		close(e.granted)
		e.granted = nil
	}
	if replacement == nil {
		return
	}
	replacement.mu.Lock()
	replacement.demand = e.demand
	replacement.mu.Unlock()
	replacement.active.Store(true)
}

// Account returns the account with its limit.
func (e *Entry) Account() account.Account { return e.account }

// Take takes a token. It reports whether there was one, and whether few tokens are left, so that
// the node should ask for more now. A request that calls Take more than once counts only the
// first time.
func (e *Entry) Take(now Time, first bool) (t Token, ok, low bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.active.Load() {
		e.active.Store(true)
	}
	if first {
		e.demand.observe(now)
	}
	chosen, sum := -1, 0
	for i := range e.stocks {
		s := &e.stocks[i]
		if s.count == 0 {
			continue
		}
		n := s.held(now)
		sum += n
		if n > 0 && (chosen < 0 || s.batches[0].expires < e.stocks[chosen].batches[0].expires) {
			chosen = i
		}
	}
	if chosen < 0 {
		return Token{}, false, true
	}
	e.stocks[chosen].batches[0].tokens--
	return e.stocks[chosen].token(chosen), true, e.short(now, sum-1)
}

// Return gives back the token of a request that has not run and will not run. It is lost if a
// report was made since it was taken.
func (e *Entry) Return(now Time, t Token) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stocks[t.stripe].giveBack(now, t)
}

// Wait registers a request that waits for a token. EndWait must follow.
func (e *Entry) Wait() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting++
	e.active.Store(true)
}

// Granted returns a channel that is closed when the next grant arrives. A request that calls it
// before Take misses no token.
func (e *Entry) Granted() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.granted == nil {
		e.granted = make(chan struct{})
	}
	return e.granted
}

// EndWait ends a Wait.
func (e *Entry) EndWait() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
}

// Exhausted reports whether all coordinators have said lately that they have no token.
func (e *Entry) Exhausted(now Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.stocks {
		if e.portions[i] > 0 && !e.stocks[i].knownEmpty(now, emptyKept) {
			return false
		}
	}
	return true
}

// verdict tells why there is no token, if coverage is the part of the shares that the
// coordinator of each stripe holds.
func (e *Entry) verdict(now Time, coverage [Stripes]float64, slow bool) Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	asked := 0
	covered, next, empty, exceeded := 0.0, time.Duration(math.MaxInt64), false, false
	for i := range e.stocks {
		s := &e.stocks[i]
		if e.portions[i] == 0 {
			continue
		}
		if s.unknown || now.Sub(s.answeredAt) > maxInterval {
			continue
		}
		asked++
		covered += e.portions[i] * coverage[i]
		if s.empty {
			empty, exceeded = true, exceeded || s.exceeded
			next = min(next, s.nextAt.Sub(now))
		}
	}
	if slow && e.demand.perSecond(now) < hoardRate && next < maxEmptyFor {
		next /= time.Duration(max(asked, 1)) // each of the coordinators counts the same waiting requests
	}
	if empty && (exceeded || covered >= fullCoverage) {
		return Verdict{Limited: true, RetryAfter: max(next, urgentInterval)}
	}
	return Verdict{RetryAfter: minInterval}
}

// demandOf returns what a report says about the account. Urgent reports also ask for the requests
// that wait.
func (e *Entry) demandOf(now Time, stripe int, period uint64, urgent, slow bool) (Demand, bool) {
	if !e.active.Load() {
		return Demand{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.stocks[stripe]
	s.period = period
	held := s.held(now)
	perSecond := e.demand.perSecond(now)
	ahead, scarce := e.ahead(now)
	target := ahead * e.portions[stripe]
	d := Demand{Account: e.account.Name}
	if e.portions[stripe] > 0 {
		wanted := 0
		if target >= 0.5 {
			wanted = int(math.Ceil(target))
		}
		d.Wanted = max(wanted-held, 0)
		s.asked = 0
		if lacking := e.waiting - e.total(now) - e.expected(now, stripe, slow) - d.Wanted; urgent && lacking > 0 {
			d.Wanted += lacking + int(ahead) // from one stripe, to save reports
		}
		s.asked, s.askedAt = d.Wanted, now
	}
	surplus := held - max(int(math.Ceil(2*target)), e.waiting)
	if scarce || slow && perSecond < hoardRate {
		surplus = min(e.total(now)-max(int(ahead), e.waiting), held)
	}
	if surplus > 0 {
		s.drop(surplus)
		d.Returned, held = surplus, held-surplus
	}
	d.Held = held
	if perSecond < inactiveRate && e.waiting == 0 && e.total(now) == 0 {
		e.active.Store(false)
	}
	return d, d != Demand{Account: d.Account}
}

// total returns the number of valid tokens of all stripes.
func (e *Entry) total(now Time) int {
	sum := 0
	for i := range e.stocks {
		sum += e.stocks[i].held(now)
	}
	return sum
}

// expected returns the number of tokens that were asked for, in view of a further report on the stripe.
// With slow answers, a node with little demand asks all coordinators at once: a request waits for hardly
// more than one answer.
func (e *Entry) expected(now Time, stripe int, slow bool) int {
	if slow && e.demand.perSecond(now) < hoardRate {
		return e.stocks[stripe].expected(now, slowGrantDelay)
	}
	sum := 0
	for i := range e.stocks {
		sum += e.stocks[i].expected(now, grantDelay)
	}
	return sum
}

// short reports whether the tokens last for less than lowTime. Half a token less is allowed for, so
// that accounts with little demand ask for a token only when they need one.
func (e *Entry) short(now Time, tokens int) bool {
	return float64(tokens)+0.5 < e.demand.perSecond(now)*lowTime.Seconds()
}

// low reports whether the account needs tokens of the stripe before the next regular report.
func (e *Entry) low(now Time, stripe int, slow bool) bool {
	if !e.active.Load() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.stocks[stripe]
	if e.portions[stripe] == 0 {
		return false
	}
	total := e.total(now)
	ahead, scarce := e.ahead(now)
	if (scarce || slow && e.demand.perSecond(now) < hoardRate) && total > max(int(ahead), e.waiting) && s.held(now) > 0 {
		return true // returns what no request waits for
	}
	if s.knownEmpty(now, emptyKept) {
		return false
	}
	tokens := total + e.expected(now, stripe, slow)
	return tokens < e.waiting || !scarce && e.short(now, tokens)
}

// ahead returns for how many requests the node holds tokens before they arrive, and whether it holds
// none because tokens are scarce and its demand would hardly use them before they expire.
func (e *Entry) ahead(now Time) (tokens float64, scarce bool) {
	perSecond := e.demand.perSecond(now)
	if perSecond < hoardRate && e.scarce(now) {
		return 0, true
	}
	return perSecond * aheadTime.Seconds(), false
}

// scarce reports whether a coordinator has said lately that the demand exceeds the whole limit.
func (e *Entry) scarce(now Time) bool {
	for i := range e.stocks {
		if s := &e.stocks[i]; s.exceeded && now.Sub(s.answeredAt) < scarceKept {
			return true
		}
	}
	return false
}

// receive adds granted tokens and wakes the requests that wait.
func (e *Entry) receive(now Time, stripe int, t Tokens, expires Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.stocks[stripe]
	s.unknown, s.empty, s.exceeded = t.Unknown, t.EmptyFor > 0, t.Exceeded
	s.answeredAt, s.nextAt, s.asked = now, now.Add(t.EmptyFor), 0
	if t.Granted > 0 && expires > now {
		s.expire(now)
		s.add(t.Granted, expires)
	}
	if e.granted != nil {
		close(e.granted)
		e.granted = nil
	}
}

// forget forgets what the earlier coordinator of the stripe has said.
func (e *Entry) forget(stripe int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stocks[stripe].empty = false
}
