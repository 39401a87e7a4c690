package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/dispatch"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/quota"
	"corianderwood.example/corianderwood/pkg/reason"
)

var _ dispatch.AccountLimiter = (*accountLimits)(nil)

// Take implements dispatch.AccountLimiter. A request without a token waits for up to tokenWait,
// unless the coordinators have said lately that the limit is used up.
func (l *accountLimits) Take(ctx context.Context, a *account.Account) (quota.Token, reason.Refusal, time.Duration) {
	e := l.tokens.Entry(a.Name)
	if e == nil {
		return quota.Token{}, reason.QuotaUnavailable, tokenWait // a newer configuration has no limit for it
	}
	token, ok, low := e.Take(quotaTime(), true)
	if low {
		l.request()
	}
	if ok {
		return token, "", 0
	}
	return l.wait(ctx, e)
}

func (l *accountLimits) wait(ctx context.Context, e *quota.Entry) (quota.Token, reason.Refusal, time.Duration) {
	l.waiting.Add(1)
	defer l.waiting.Add(-1)
	e.Wait()
	defer e.EndWait()
	timer := time.NewTimer(tokenWait)
	defer timer.Stop()
	for {
		granted := e.Granted()
		now := quotaTime()
		if token, ok, _ := e.Take(now, false); ok {
			return token, "", 0
		}
		if e.Exhausted(now) {
			return l.refuse(e)
		}
		l.request()
		select {
		case <-granted:
		case <-timer.C:
			return l.refuse(e)
		case <-ctx.Done():
			return l.refuse(e)
		}
	}
}

// refuse returns why no token was available. The times of the requests that are refused together
// are spread, so that they do not come back at once.
func (l *accountLimits) refuse(e *quota.Entry) (quota.Token, reason.Refusal, time.Duration) {
	v := l.tokens.Verdict(quotaTime(), e)
	after := v.RetryAfter + rand.N(v.RetryAfter/2+time.Millisecond)
	name := e.Account().Name
	if !v.Limited {
		l.log.Write(event.AccountQuotaUnavailable, "account", name)
		return quota.Token{}, v.Refusal(), after
	}
	if l.metrics.limited(name, time.Now()) {
		event.AccountLimited.Log("account", name, "limit", e.Account().RatePerSecond, "burst", e.Account().Burst)
	}
	return quota.Token{}, v.Refusal(), after
}

// availability returns what Take would find, and takes nothing; false if the account has no limit here.
func (l *accountLimits) availability(a *account.Account) (quota.Availability, bool) {
	e := l.tokens.Entry(a.Name)
	if e == nil {
		return quota.Availability{}, false
	}
	return l.tokens.Availability(quotaTime(), e), true
}

// Return implements dispatch.AccountLimiter.
func (l *accountLimits) Return(a *account.Account, t quota.Token) {
	if e := l.tokens.Entry(a.Name); e != nil {
		e.Return(quotaTime(), t)
	}
}
