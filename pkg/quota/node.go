package quota

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/account"
)

// Node holds the tokens of one process and decides what it reports. It is safe for concurrent
// use; mu guards the leases and orders reports and grants.
type Node struct {
	name    string
	bounds  Bounds
	entries atomic.Pointer[map[string]*Entry]

	mu       sync.Mutex
	leases   [Stripes]lease
	timing   Timing
	interval time.Duration
	member   bool
	// part is the node's share until partUntil, if the members change.
	part      float64
	partUntil Time
	periods   uint64
}

// NewNode returns the state of a process that starts now. An earlier process of the node may have
// leased its share until MaxLease from now.
func NewNode(now Time, name string, b Bounds) *Node {
	n := &Node{name: name, bounds: b}
	n.entries.Store(&map[string]*Entry{})
	for i := range n.leases {
		n.leases[i].until = now.Add(MaxLease)
	}
	return n
}

// SetMembers sets the nodes that have a share, once. The process started at the given time.
func (n *Node) SetMembers(started Time, members []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.timing = TimingFor(len(members))
	n.interval = n.timing.Interval
	n.member = slices.Contains(members, n.name)
	for i := range n.leases {
		n.leases[i].until = started.Add(n.timing.Lease)
	}
}

// SetShare sets the part of each limit that the node may lease until the given time, and the number of
// members, for members that change. The leases of an earlier process may be of any epoch, so that the
// first one waits for MaxLease from the start of the process.
func (n *Node) SetShare(part float64, until Time, members int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.part, n.partUntil, n.member = part, until, part > 0
	if t := TimingFor(members); t != n.timing {
		n.timing, n.interval = t, t.Interval
	}
}

// SetFleet sets the number of nodes, on which the time between reports depends. A member reports
// within its lease in any case.
func (n *Node) SetFleet(nodes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.interval = n.timing.Interval
	if !n.member {
		n.interval = max(n.interval, TimingFor(nodes).Interval)
	}
}

// Configure replaces the limits. Tokens of accounts that keep a limit stay.
func (n *Node) Configure(accounts []*account.Account) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := *n.entries.Load()
	entries := make(map[string]*Entry, len(accounts))
	for _, a := range accounts {
		e, ok := old[a.Name]
		if !ok || e.account.RatePerSecond != a.RatePerSecond || e.account.Burst != a.Burst {
			e = newEntry(*a, n.bounds, n.nextPeriod())
		}
		entries[a.Name] = e
	}
	n.entries.Store(&entries)
	for name, e := range old {
		if entries[name] != e {
			// Reports no longer state these tokens, so that requests that still use the entry
			// must not get them.
			e.moveTo(entries[name])
		}
	}
}

func (n *Node) nextPeriod() uint64 {
	n.periods++
	return n.periods
}

// Entry returns the tokens of the account with the name, or nil if it has no limit.
func (n *Node) Entry(name string) *Entry { return (*n.entries.Load())[name] }

// Limited reports whether there are accounts with a limit.
func (n *Node) Limited() bool { return len(*n.entries.Load()) > 0 }

// Verdict tells why no token of the account is available.
func (n *Node) Verdict(now Time, e *Entry) Verdict {
	var coverage [Stripes]float64
	n.mu.Lock()
	for i := range n.leases {
		coverage[i] = n.leases[i].coverage
	}
	slow := n.slow()
	n.mu.Unlock()
	return e.verdict(now, coverage, slow)
}

// Due returns when the next regular report of a stripe is due.
func (n *Node) Due(stripe int) Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &n.leases[stripe]
	if l.sentAt == 0 {
		return 0
	}
	return l.sentAt.Add(n.interval)
}

// Unanswered reports whether the coordinator of a stripe has left reports unanswered for so long
// that it should be replaced.
func (n *Node) Unanswered(now Time, stripe int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &n.leases[stripe]
	return l.unanswered > 0 && now.Sub(l.unanswered) > unansweredAfter*n.interval
}

// Urgent returns a stripe of which tokens are needed before the next regular report. Stripes take
// turns.
func (n *Node) Urgent(now Time) (int, bool) {
	chosen := -1
	n.mu.Lock()
	var due [Stripes]bool
	var sentAt [Stripes]Time
	slow := n.slow()
	for i := range n.leases {
		sentAt[i] = n.leases[i].sentAt
		since := sentAt[i]
		if slow {
			since = n.leases[i].urgentAt // a regular report just before must not take a quarter of the wait
		}
		due[i] = sentAt[i] > 0 && now.Sub(since) >= urgentInterval
	}
	n.mu.Unlock()
	for _, e := range *n.entries.Load() {
		for i := range due {
			if due[i] && (chosen < 0 || sentAt[i] < sentAt[chosen]) && e.low(now, i, slow) {
				chosen = i
			}
		}
	}
	return chosen, chosen >= 0
}

// slow reports whether the coordinators take so long to answer that a request can't ask them one after the
// other. The caller holds mu.
func (n *Node) slow() bool {
	for i := range n.leases {
		if n.leases[i].answerTime > slowAnswer {
			return true
		}
	}
	return false
}

// Report returns the report that is to be sent to the coordinator of the stripe now. It must be
// sent after it was made, or not at all.
func (n *Node) Report(now Time, stripe int, coordinator Process, urgent bool) Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.report(now, stripe, coordinator, urgent, MaxLease)
}

// ShareReport is Report for members that change. The lease ends with the right to the share.
func (n *Node) ShareReport(now Time, stripe int, coordinator Process, urgent bool) ShareReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.report(now, stripe, coordinator, urgent, n.partUntil.Sub(now))
	return ShareReport{Report: r, Part: n.part}
}

func (n *Node) report(now Time, stripe int, coordinator Process, urgent bool, longest time.Duration) Report {
	l := &n.leases[stripe]
	changed := l.coordinator != coordinator
	if changed {
		l.changeTo(coordinator)
	}
	if urgent {
		l.urgentAt = now
	}
	r := Report{Stripe: stripe}
	if l.echo > 0 {
		r.Coordinator, r.Echo, r.Age, r.Received = coordinator.ID, l.echo, now.Sub(l.echoAt), l.received
	}
	if n.member && l.mayLease(now) {
		r.Lease = max(min(n.timing.Lease, longest), 0)
	}
	l.record(now, r.Lease)
	r.Number = l.number
	period, slow := n.nextPeriod(), n.slow()
	for _, e := range *n.entries.Load() {
		if changed {
			e.forget(stripe)
		}
		if d, ok := e.demandOf(now, stripe, period, urgent, slow); ok {
			r.Demands = append(r.Demands, d)
		}
	}
	return r
}

// Grant adds the tokens of a grant. It reports whether the grant responds to a report that still
// waits for it; others are ignored.
func (n *Node) Grant(now Time, from Process, g Grant) bool {
	if g.Stripe < 0 || g.Stripe >= Stripes || g.Process != from.ID {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &n.leases[g.Stripe]
	if l.coordinator != from {
		return false
	}
	at, ok := l.answered(g)
	if !ok {
		return false
	}
	l.answerTime = now.Sub(at)
	l.echo, l.echoAt, l.received, l.coverage, l.unanswered = g.Now, now, g.Number, g.Coverage, 0
	if g.Holds && l.holder == (Process{}) {
		l.holder = from // an earlier process of this node has leased the share to it
	}
	entries := *n.entries.Load()
	for _, t := range g.Tokens {
		if e, ok := entries[t.Account]; ok {
			e.receive(now, g.Stripe, t, at.Add(g.TokenLife))
		}
	}
	return true
}
