package quota

import (
	"time"

	"corianderwood.example/corianderwood/pkg/account"
)

// Coordinator hands out the tokens of the shares that are leased to this process. It is not safe
// for concurrent use.
type Coordinator struct {
	process uint64
	bounds  Bounds
	members map[string]bool
	timing  Timing
	ledgers [Stripes]*ledger
	purged  Time
}

// NewCoordinator returns the coordinator of a process.
func NewCoordinator(process uint64, b Bounds) *Coordinator {
	c := &Coordinator{process: process, bounds: b}
	for i := range c.ledgers {
		c.ledgers[i] = newLedger(i)
	}
	return c
}

// SetMembers sets the nodes that have an equal share, for members that do not change.
func (c *Coordinator) SetMembers(members []string) {
	c.members = make(map[string]bool, len(members))
	for _, name := range members {
		c.members[name] = true
	}
	c.timing = Timing{}
	if len(members) > 0 {
		c.timing = TimingFor(len(members))
	}
}

// SetFleet sets the number of members, for members that change and state their shares themselves.
func (c *Coordinator) SetFleet(members int) {
	c.members, c.timing = nil, TimingFor(members)
}

// Configure replaces the limits by those of a newer configuration.
func (c *Coordinator) Configure(now Time, accounts []*account.Account) {
	for _, l := range c.ledgers {
		c.count(now, l)
		l.configure(now, c.coverage(l), accounts, c.bounds)
	}
}

// Report processes the report of a process and returns the grant. A repeated or late report gets
// none.
func (c *Coordinator) Report(now Time, from Process, r Report) (Grant, bool) {
	part := 0.0
	if c.members[from.Node] {
		part = 1 / float64(len(c.members))
	}
	return c.report(now, from, r, part)
}

// ShareReport is Report for a sender that states its share.
func (c *Coordinator) ShareReport(now Time, from Process, r ShareReport) (Grant, bool) {
	return c.report(now, from, r.Report, r.Part)
}

func (c *Coordinator) report(now Time, from Process, r Report, part float64) (Grant, bool) {
	if c.timing.Interval == 0 || r.Stripe < 0 || r.Stripe >= Stripes {
		return Grant{}, false
	}
	l := c.ledgers[r.Stripe]
	con, ok := l.consumers[from]
	if !ok {
		if len(l.consumers) == 0 {
			l.begun = now
		}
		con = &consumer{accounts: make(map[string]struct{}), lacking: make(map[string]struct{})}
		l.consumers[from] = con
	}
	if r.Number <= con.reports {
		return Grant{}, false
	}
	con.reports, con.reportedAt = r.Number, now
	con.grants++
	c.count(now, l)
	known := r.Coordinator == c.process && r.Echo > 0
	if known && r.Lease > 0 && part > 0 {
		// The share is leased from the sending of the report, which was not before the echoed
		// grant arrived and Age passed.
		l.lease(from.Node, min(r.Echo.Add(max(r.Age, 0)), now).Add(min(r.Lease, MaxLease)), part)
	}
	g := Grant{
		Stripe: r.Stripe, Report: r.Number, Process: c.process, Number: con.grants, Now: now,
		Holds: l.leases[from.Node] > now, Coverage: c.coverage(l), TokenLife: c.timing.TokenLife,
	}
	if known && r.Received > 0 {
		l.confirm(now, c.coverage(l), from, con, r)
	}
	l.resetLacking(from, con)
	for _, d := range r.Demands {
		if d.Wanted > 0 {
			g.Tokens = append(g.Tokens, c.grant(now, l, from, con, d))
		}
	}
	c.purge(now)
	return g, true
}

// confirm processes the tokens that a process has left. Accounts without a demand have none.
func (l *ledger) confirm(now Time, coverage float64, from Process, con *consumer, r Report) {
	demands := make(map[string]Demand, len(r.Demands))
	for _, d := range r.Demands {
		demands[d.Account] = d
	}
	for name := range con.accounts {
		b, ok := l.buckets[name]
		if !ok {
			delete(con.accounts, name)
			continue
		}
		b.advance(now, coverage)
		b.confirm(from, r.Received, demands[name])
		if h, ok := b.holdings[from]; !ok || len(h.grants) == 0 {
			delete(con.accounts, name)
		}
	}
}

// resetLacking resets what a process lacked at its last report: it may have got it elsewhere.
func (l *ledger) resetLacking(from Process, con *consumer) {
	for name := range con.lacking {
		if b, ok := l.buckets[name]; ok {
			if h, ok := b.holdings[from]; ok {
				h.wanted = 0
			}
		}
	}
	clear(con.lacking)
}

func (c *Coordinator) grant(now Time, l *ledger, from Process, con *consumer, d Demand) Tokens {
	b, ok := l.buckets[d.Account]
	if !ok || b.removed {
		return Tokens{Account: d.Account, Unknown: true}
	}
	coverage := c.coverage(l)
	b.advance(now, coverage)
	granted := b.grant(now, from, con.grants, d.Wanted, c.timing.TokenLife)
	if granted > 0 {
		con.accounts[d.Account] = struct{}{}
	}
	if granted < d.Wanted {
		con.lacking[d.Account] = struct{}{}
	}
	t := Tokens{Account: d.Account, Granted: granted}
	starts := c.starts(now, l, coverage)
	t.Exceeded = b.exceeded(now, starts)
	if granted < d.Wanted {
		t.EmptyFor = b.emptyFor(now, coverage)
		if starts {
			t.EmptyFor = min(t.EmptyFor, max(c.complete(l).Sub(now), urgentInterval))
		}
	}
	return t
}

// starts reports whether members may still be waiting for the end of their leases to another
// coordinator. What nodes lack tells nothing of the demand then.
func (c *Coordinator) starts(now Time, l *ledger, coverage float64) bool {
	return coverage < fullCoverage && now < c.complete(l)
}

// complete returns when all members that can reach this process have leased their shares to it.
func (c *Coordinator) complete(l *ledger) Time {
	return l.begun.Add(c.timing.Lease + c.timing.Interval)
}

func (c *Coordinator) count(now Time, l *ledger) {
	if c.timing.Interval > 0 && (l.countedAt == 0 || now.Sub(l.countedAt) >= countInterval) {
		l.count(now, c.timing.TokenLife)
	}
}

// coverage returns the part of the shares that is leased to this process.
func (c *Coordinator) coverage(l *ledger) float64 { return coverage(l.counted) }

func (c *Coordinator) purge(now Time) {
	if now.Sub(c.purged) < time.Second {
		return
	}
	c.purged = now
	for _, l := range c.ledgers {
		l.purge(now)
	}
}
