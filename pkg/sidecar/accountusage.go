package sidecar

import (
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/dispatch"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

var _ dispatch.AccountObserver = (*accountUsage)(nil)

// accountUsage counts the requests of the accounts in the configuration. It is safe for concurrent
// use and takes no lock; only configure must not be called concurrently.
type accountUsage struct {
	started time.Time
	// byName has an entry for each account of the newest configuration. The map is not changed; the
	// counters are created with the first request, since most accounts of a large configuration
	// send none.
	byName atomic.Pointer[map[string]*atomic.Pointer[accountCounters]]
}

func newAccountUsage(now time.Time) *accountUsage {
	u := &accountUsage{started: now}
	u.byName.Store(&map[string]*atomic.Pointer[accountCounters]{})
	return u
}

// configure keeps the counters of the accounts in the configuration and discards the others.
func (u *accountUsage) configure(t *routing.Table) {
	old := *u.byName.Load()
	if t.Accounts == nil && len(old) == 0 {
		return
	}
	byName := make(map[string]*atomic.Pointer[accountCounters])
	if t.Accounts != nil {
		for _, a := range t.Accounts.All() {
			entry, ok := old[a.Name]
			if !ok {
				entry = new(atomic.Pointer[accountCounters])
			}
			byName[a.Name] = entry
		}
	}
	u.byName.Store(&byName)
}

// Received implements dispatch.AccountObserver.
func (u *accountUsage) Received(now time.Time, account string) {
	if c := u.counters(account); c != nil {
		c.received.add(u.second(now))
	}
}

// Refused implements dispatch.AccountObserver.
func (u *accountUsage) Refused(now time.Time, account string, why reason.Refusal) {
	c := u.counters(account)
	if c == nil {
		return
	}
	c.refused[refusalIndex(why)].Add(1)
	at := int64(now.Sub(u.started))
	c.lastRefused.Store(at)
	if why == reason.AccountLimit {
		c.lastLimited.Store(at)
	}
}

// counters returns the counters of an account, or nil if it is not in the configuration.
func (u *accountUsage) counters(account string) *accountCounters {
	entry, ok := (*u.byName.Load())[account]
	if !ok {
		return nil
	}
	if c := entry.Load(); c != nil {
		return c
	}
	entry.CompareAndSwap(nil, new(accountCounters))
	return entry.Load()
}

// of returns the counters of an account, or nil if it had no request.
func (u *accountUsage) of(account string) *accountCounters {
	if entry, ok := (*u.byName.Load())[account]; ok {
		return entry.Load()
	}
	return nil
}

// second returns the whole seconds since the start of the process.
func (u *accountUsage) second(now time.Time) uint32 { return uint32(now.Sub(u.started) / time.Second) }
