package soak

import (
	"net/http"
	"time"
)

// arrival is a request that a server gets and does not answer with 421.
type arrival struct {
	id             string
	at             time.Time
	server, domain string // incarnation and failure domain of the server
	cold           bool
	header         http.Header
}

// OnArrival checks a request that reaches a server against the guarantees on keys, accounts,
// evacuations and cold servers. Requests that no client sent are left to OnStart.
func (c *Checker) OnArrival(a arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.requests[a.id]
	if !ok {
		return
	}
	if len(a.header.Values("Authorization")) > 0 {
		c.addViolation("request %s reached %s with a key", a.id, a.server)
	}
	if got := a.header.Values(headers.Account); (len(got) > 0 || accountOf(r.key) != "") && !(len(got) == 1 && got[0] == accountOf(r.key)) {
		c.addViolation("request %s reached %s with the account names %q, want %q", a.id, a.server, got, accountOf(r.key))
	}
	c.checkKey(a.id, r, a.server)
	// The client's first sending counts: a node may hold a request that was sent before.
	if confirmed, ok := c.evacuations[a.domain]; ok && r.sent.After(confirmed.Add(evacuate)) {
		c.addViolation("request %s reached %s although it was sent %v after the evacuation of domain %s", a.id, a.server, r.sent.Sub(confirmed), a.domain)
	}
	if a.cold {
		w := c.window("server "+a.server, time.Second)
		if n := w.add(a.at, a.at); n > coldLimit {
			c.addViolation("%s got %d requests in a second while it was cold, allowed %d", a.server, n, coldLimit)
		}
		c.counts["to cold servers"]++
	}
}

// checkScarce counts a request of the limited account that runs, once if it runs several times. The
// caller holds mu.
func (c *Checker) checkScarce(r *requestState) {
	if r.key != scarceKey || r.counted {
		return
	}
	r.counted = true
	if n := c.window("account "+scarceAccount, quotaWindow).add(r.sent, time.Now()); n > scarceLimit {
		c.addViolation("%d requests of account %s were sent and run in %v, allowed %d", n, scarceAccount, quotaWindow, scarceLimit)
	}
	c.counts["scarce run"]++
}

// window returns the window with the given name. The caller holds mu.
func (c *Checker) window(name string, length time.Duration) *window {
	w, ok := c.windows[name]
	if !ok {
		w = &window{length: length}
		c.windows[name] = w
	}
	return w
}

// OnEvacuated records the confirmation of the evacuation of a failure domain.
func (c *Checker) OnEvacuated(domain string, confirmed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations[domain] = confirmed
}

// OnEvacuationEnd records that the evacuation is about to be ended, or that a restored store lacks
// its row. In the second case the servers of the domain may get requests until the row is written
// again and its bound has passed: a node that starts after the restore can't know of the row.
func (c *Checker) OnEvacuationEnd(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuations, domain)
}
