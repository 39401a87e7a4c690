package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/reason"
)

// Policy decides on retries of calls to one dependency. It is safe for concurrent use.
type Policy struct {
	budget  *Budget
	base    time.Duration
	maxWait time.Duration
	metrics *dependencyMetrics

	mu  sync.Mutex
	rnd *rand.Rand // guarded by mu
}

// NewPolicy returns the policy of a dependency with its own budget. The policy uses rnd
// under its own lock; the caller must not use it afterwards. Values of p that are not
// positive are replaced by the defaults.
func NewPolicy(dependency string, p config.Retry, rnd *rand.Rand) *Policy {
	p = withDefaults(p)
	policy := &Policy{
		budget:  NewBudget(p),
		base:    time.Duration(p.BaseMS) * time.Millisecond,
		maxWait: time.Duration(p.MaxWaitMS) * time.Millisecond,
		metrics: newDependencyMetrics(dependency),
		rnd:     rnd,
	}
	policy.metrics.tokens.Set(policy.budget.Tokens())
	return policy
}

// FirstAttempt records the first attempt of a call. It must not be called for retries.
func (p *Policy) FirstAttempt() { p.FirstAttemptAt(time.Now()) }

// FirstAttemptAt records the first attempt of a call at the given time.
func (p *Policy) FirstAttemptAt(now time.Time) {
	p.budget.RecordFirstAt(now)
	p.metrics.firstAttempts.Inc()
	p.metrics.tokens.Set(p.budget.Tokens())
}

// Tokens returns the number of remaining retry tokens.
func (p *Policy) Tokens() float64 { return p.budget.Tokens() }

// Decide decides whether a call is retried and takes a token if so. attempt is the
// number of attempts made so far, 1 after the first one. minResponse is the minimum time
// until a response can be expected. The zero deadline means that there is none.
//
// The deadline is checked before the budget, so that a retry that cannot be answered in
// time takes no token (article "Give each outbound dependency a retry budget, not a
// retry count").
func (p *Policy) Decide(now, deadline time.Time, attempt int, v Classification, minResponse time.Duration) Decision {
	if v.Spent {
		return p.refuse(reason.RetrySpent, v)
	}
	if !v.Retryable {
		return Decision{}
	}
	if attempt >= MaxAttempts {
		return p.refuse(reason.RetryAttempts, v)
	}
	wait := p.wait(attempt, v)
	if !deadline.IsZero() && now.Add(wait+minResponse).After(deadline) {
		return p.refuse(reason.RetryDeadline, v)
	}
	if !p.budget.TryTakeAt(now) {
		return p.refuse(reason.RetryBudget, v)
	}
	p.metrics.tokens.Set(p.budget.Tokens())
	p.metrics.retried(v.Why)
	return Decision{Retry: true, Wait: wait}
}

// wait returns the wait before the next attempt. The first retry of a call that did not
// run is sent to another upstream at once, since it adds no load to the one that
// refused it. Jitter is added to Retry-After, so that callers that received the same
// value do not retry at the same time.
func (p *Policy) wait(attempt int, v Classification) time.Duration {
	if v.Wait <= 0 && attempt <= 1 && v.NotRun() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return v.Wait + fullJitter(p.rnd, backoffWidth(p.base, p.maxWait, attempt))
}

func (p *Policy) refuse(why reason.Refusal, v Classification) Decision {
	p.metrics.refused(why, v.Class)
	return Decision{Refused: why}
}
