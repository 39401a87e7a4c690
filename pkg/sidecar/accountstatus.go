package sidecar

import (
	"cmp"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/status"
)

// usedAccount is an account with the times by which the accounts of a status document are chosen.
type usedAccount struct {
	*account.Account
	counters                 *accountCounters // nil if it had no request
	lastRefused, lastLimited time.Duration    // since the start; 0 if there was none
}

// accountStatus returns the accounts that were refused at their limit most recently, then those that were refused
// most recently for other reasons, then the others by name, and the number of those omitted.
func (n *Node) accountStatus(now time.Time) ([]status.Account, int) {
	out := []status.Account{}
	table := n.routingTable.Load()
	if table == nil || table.Accounts == nil {
		return out, 0
	}
	all := make([]usedAccount, 0, table.Accounts.Len())
	for _, a := range table.Accounts.All() {
		u := usedAccount{Account: a, counters: n.usage.of(a.Name)}
		if u.counters != nil {
			u.lastRefused, u.lastLimited = time.Duration(u.counters.lastRefused.Load()), time.Duration(u.counters.lastLimited.Load())
		}
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b usedAccount) int {
		return cmp.Or(cmp.Compare(b.lastLimited, a.lastLimited), cmp.Compare(b.lastRefused, a.lastRefused), cmp.Compare(a.Name, b.Name))
	})
	chosen, omitted := bounded(all, status.MaxAccounts)
	for _, u := range chosen {
		out = append(out, n.oneAccount(now, u))
	}
	return out, omitted
}

func (n *Node) oneAccount(now time.Time, u usedAccount) status.Account {
	s := status.Account{Name: u.Name, RatePerSecond: u.RatePerSecond, Burst: u.Burst}
	if u.counters != nil {
		s.RequestsPerSecond, s.Refused = u.counters.received.perSecond(n.usage.second(now)), u.counters.refusals()
	}
	since := now.Sub(n.usage.started)
	if u.lastRefused > 0 {
		s.LastRefusedSeconds = seconds(max(since-u.lastRefused, 0))
	}
	s.AtLimit = u.lastLimited > 0 && since-u.lastLimited <= limitedFor
	e := n.limits.tokens.Entry(u.Name)
	if e == nil {
		return s
	}
	tokens, portions := e.Held(quotaTime())
	s.Tokens = tokens
	for stripe, c := range n.limits.tokens.StripeStatus() {
		if portions[stripe] > 0 {
			s.Coordinators = append(s.Coordinators, status.Coordinator{Stripe: stripe, Node: c.Coordinator.Node, Portion: portions[stripe], Share: c.Coverage})
		}
	}
	return s
}
