package dispatch

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/ingress"
	"corianderwood.example/corianderwood/pkg/quota"
	"corianderwood.example/corianderwood/pkg/reason"
)

// AccountLimiter enforces the limits of client accounts over all nodes.
type AccountLimiter interface {
	// Take takes a token of a limited account and may wait for it. If there is none, it returns
	// the reason and the time after which the request may come again.
	Take(ctx context.Context, a *account.Account) (quota.Token, reason.Refusal, time.Duration)
	// Return gives back the token of a request that has not run and will not run.
	Return(a *account.Account, t quota.Token)
}

// needsToken reports whether a request of the account takes a token. Nested requests are part of one
// that has taken a token.
func needsToken(a *account.Account, nested bool) bool {
	return a != nil && a.Limited() && !nested
}

// runWithin runs the request, within the limit of its account if it has one.
func (x *exchange) runWithin(ctx context.Context) ingress.Response {
	limiter := x.dispatcher.opts.Limiter
	if limiter == nil || !needsToken(x.account, x.req.Nested) {
		return x.run(ctx)
	}
	token, why, after := limiter.Take(ctx, x.account)
	if why != "" {
		x.dispatcher.accountRefused(x.account, why)
		return x.dispatcher.refuseWith(RefusalStatus(why), x.req.ID, x.route.Name, why, after)
	}
	defer func() {
		if !x.maybeRan && !x.sending {
			limiter.Return(x.account, token)
		}
	}()
	return x.run(ctx)
}
