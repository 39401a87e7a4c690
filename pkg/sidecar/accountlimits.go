package sidecar

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/quota"
	"corianderwood.example/corianderwood/pkg/routing"
)

// accountLimits exchanges the reports and grants by which all nodes together keep the limits of
// accounts. While no account has a limit it does nothing. It is safe for concurrent use; mu guards
// the coordinator, run owns the fields below it.
type accountLimits struct {
	node    *Node
	self    quota.Process
	started quota.Time
	tokens  *quota.Node
	metrics *accountMetrics
	log     *event.LimitedLog
	wake    chan struct{} // holds a value if run has something to do
	waiting atomic.Int64  // requests that wait for a token
	members *accountMembers

	mu          sync.Mutex
	coordinator *quota.Coordinator

	chosenAt     time.Time
	coordinators [quota.Stripes]quota.Process
	links        map[quota.Process]*link.Link
	avoided      map[quota.Process]time.Time // until when a process that does not answer is not asked
}

func newAccountLimits(n *Node) *accountLimits {
	b := n.settings.Bounds
	bounds := quota.Bounds{Window: b.QuotaWindow, Overage: b.QuotaOverage, Slack: b.QuotaSlack}
	now := quotaTime()
	l := &accountLimits{
		node: n, self: quota.Process{Node: n.settings.Node, ID: n.process}, started: now, tokens: quota.NewNode(now, n.settings.Node, bounds),
		metrics: newAccountMetrics(n.registry), log: event.NewLimitedLog(accountLogRate, accountLogRate), wake: make(chan struct{}, 1),
		coordinator: quota.NewCoordinator(n.process, bounds), avoided: make(map[quota.Process]time.Time),
	}
	l.members = newAccountMembers(n, l.setMembers)
	return l
}

// configure applies the limits of a configuration before it is in force.
func (l *accountLimits) configure(t *routing.Table) {
	var limited []*account.Account
	if t.Accounts != nil {
		limited = t.Accounts.Limited()
	}
	if len(limited) == 0 && !l.tokens.Limited() {
		return
	}
	l.tokens.Configure(limited)
	l.mu.Lock()
	l.coordinator.Configure(quotaTime(), limited)
	l.mu.Unlock()
	l.request()
}

// setMembers sets the nodes that have a share.
func (l *accountLimits) setMembers(members []string) {
	l.mu.Lock()
	l.coordinator.SetMembers(members)
	l.mu.Unlock()
	l.tokens.SetMembers(l.started, members)
	event.AccountSharesKnown.Log("nodes", len(members), "member", slices.Contains(members, l.self.Node))
	l.request()
}

// request makes run report soon.
func (l *accountLimits) request() {
	select {
	case l.wake <- struct{}{}:
	default: // already requested
	}
}

// run sends reports until ctx ends.
func (l *accountLimits) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if l.tokens.Limited() {
			timer.Reset(l.step(ctx))
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
		}
	}
}

// step sends the reports that are due and returns the time until the next step.
func (l *accountLimits) step(ctx context.Context) time.Duration {
	if !l.members.establish(ctx) {
		return memberCheckInterval
	}
	now := quotaTime()
	l.share(ctx, now)
	l.choose(now)
	next := now.Add(time.Second)
	for stripe := range quota.Stripes {
		due := l.tokens.Due(stripe)
		if due <= now {
			l.report(now, stripe, false)
			due = l.tokens.Due(stripe)
		}
		next = min(next, due)
	}
	for range quota.Stripes {
		stripe, ok := l.tokens.Urgent(now)
		if !ok {
			break
		}
		l.report(now, stripe, true)
	}
	if l.waiting.Load() > 0 {
		return min(next.Sub(now), waitCheckInterval)
	}
	return max(next.Sub(now), waitCheckInterval)
}

// share applies this node's share of the limits if the members may change.
func (l *accountLimits) share(ctx context.Context, now quota.Time) {
	s := l.node.shares
	if !s.active() {
		return
	}
	part, until, members := s.use(now)
	l.tokens.SetShare(part, until, members)
	l.mu.Lock()
	l.coordinator.SetFleet(members)
	l.mu.Unlock()
	s.ask(now)
	if s.due(now) {
		_, linked := l.members.nodes()
		s.propose(ctx, now, linked, l.members.rank(linked))
	}
}

// choose decides which node coordinates each stripe, by the links that work.
func (l *accountLimits) choose(now quota.Time) {
	clock := time.Now()
	for stripe, p := range l.coordinators {
		if l.tokens.Unanswered(now, stripe) && p != l.self && clock.After(l.avoided[p]) {
			l.avoided[p] = clock.Add(quota.AvoidedFor)
			l.chosenAt = time.Time{}
		}
	}
	if clock.Sub(l.chosenAt) < coordinatorCheckInterval {
		return
	}
	l.chosenAt = clock
	l.tokens.SetFleet(int(l.node.otherNodes.Load()) + 1)
	for p, until := range l.avoided {
		if clock.After(until) {
			delete(l.avoided, p)
		}
	}
	s := l.node.settings
	all := []quota.Candidate{{Process: l.self, FailureDomain: s.FailureDomain, LinkBytesPerSecond: s.LinkBytesPerSecond}}
	l.links = make(map[quota.Process]*link.Link)
	for _, k := range l.node.peers.workingLinks() {
		p := quota.Process{Node: k.Peer.Node, ID: k.Peer.Process}
		if _, avoided := l.avoided[p]; avoided {
			continue
		}
		l.links[p] = k
		all = append(all, quota.Candidate{Process: p, FailureDomain: k.Peer.FailureDomain, LinkBytesPerSecond: k.Peer.LinkBytesPerSecond})
	}
	chosen := quota.Coordinators(all)
	for stripe, p := range chosen {
		if old := l.coordinators[stripe]; old != p {
			event.AccountCoordinatorChanged.Log("part", stripe, "node", p.Node, "process", p.ID, "before", old.Node)
		}
	}
	l.coordinators = chosen
}

// report sends one report.
func (l *accountLimits) report(now quota.Time, stripe int, urgent bool) {
	to := l.coordinators[stripe]
	l.metrics.reports.Inc()
	if l.node.shares.active() {
		l.shareReport(l.tokens.ShareReport(now, stripe, to, urgent), to)
		return
	}
	r := l.tokens.Report(now, stripe, to, urgent)
	if to == l.self {
		if g, ok := l.answer(to, r); ok {
			l.grant(to, g)
		}
		return
	}
	if k := l.links[to]; k != nil {
		_ = k.Send(link.KindQuotaReport, r) // after a lost link, another coordinator is chosen
	}
}

// shareReport sends a report with this node's share.
func (l *accountLimits) shareReport(r quota.ShareReport, to quota.Process) {
	if to == l.self {
		if g, ok := l.answerShare(to, r); ok {
			l.grant(to, g)
		}
		return
	}
	if k := l.links[to]; k != nil {
		_ = k.Send(link.KindQuotaShareReport, r) // after a lost link, another coordinator is chosen
	}
}

// answerShare processes a report with a share as the coordinator.
func (l *accountLimits) answerShare(from quota.Process, r quota.ShareReport) (quota.Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coordinator.ShareReport(quotaTime(), from, r)
}

// answer processes a report as the coordinator.
func (l *accountLimits) answer(from quota.Process, r quota.Report) (quota.Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coordinator.Report(quotaTime(), from, r)
}

// grant adds the tokens of a grant.
func (l *accountLimits) grant(from quota.Process, g quota.Grant) {
	if !l.tokens.Grant(quotaTime(), from, g) {
		return
	}
	l.metrics.granted(g)
	if l.waiting.Load() > 0 {
		l.request() // those that still wait ask the next coordinator
	}
}

// QuotaReport answers the report of a peer on the link on which it came.
func (h *handler) QuotaReport(l *link.Link, r quota.Report) {
	if g, ok := h.limits.answer(quota.Process{Node: l.Peer.Node, ID: l.Peer.Process}, r); ok {
		_ = l.Send(link.KindQuotaGrant, g) // after a lost link, the peer reports again
	}
}

// QuotaGrant adds the tokens that a peer has granted.
func (h *handler) QuotaGrant(l *link.Link, g quota.Grant) {
	h.limits.grant(quota.Process{Node: l.Peer.Node, ID: l.Peer.Process}, g)
}

// workingLinks returns the outbound links whose peers respond.
func (p *peers) workingLinks() []*link.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*link.Link
	for _, peer := range p.dialed {
		if l := peer.link.Load(); l != nil && l.Alive() && !l.Silent() {
			out = append(out, l)
		}
	}
	return out
}
