package dispatch

import (
	"time"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/reason"
)

// AccountObserver counts the requests of client accounts. Its methods are called for each request
// and must not block.
type AccountObserver interface {
	// Received counts a request with a valid key of the account.
	Received(now time.Time, account string)
	// Refused counts a request that gets no response of a server.
	Refused(now time.Time, account string, why reason.Refusal)
}

// accountRefused counts the refusal of a request; a may be nil.
func (d *Dispatcher) accountRefused(a *account.Account, why reason.Refusal) {
	if a != nil && d.opts.Accounts != nil {
		d.opts.Accounts.Refused(time.Now(), a.Name, why)
	}
}
