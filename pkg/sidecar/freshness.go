package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/freshness"
	"corianderwood.example/corianderwood/pkg/link"
)

// freshnessMonitor keeps this node's copy of the operator's table known to be current: by the
// node's own reads of the store or by asking peers. It exists only if Bounds.StrictRevoke is set,
// and is active while the configuration in force has accounts. All methods may be called on nil.
// It is safe for concurrent use; mu guards the fields below it.
type freshnessMonitor struct {
	node    *Node
	table   string
	lease   time.Duration
	tracker *freshness.Tracker
	// activated has a value after a configuration with accounts came into force.
	activated chan struct{}
	// rowsRequests limits requests for rows that only the configuration of a peer calls for.
	rowsRequests *rate.Limiter

	mu       sync.Mutex
	rnd      *rand.Rand
	reported bool // the last state that was logged
	// own decides on this process's reads; held is the newest that does not count yet, waiting that
	// it is considered again later.
	own     freshness.OwnReads
	held    *heldRead
	waiting bool
	// appliedChanges is the number of changes of the copy that are applied.
	appliedChanges uint64
	era            uint64 // of the row of the configuration in force
}

// newFreshnessMonitor returns nil if keys may be accepted regardless of the age of the
// configuration.
func newFreshnessMonitor(n *Node) *freshnessMonitor {
	b := n.settings.Bounds
	if !b.StrictRevoke {
		return nil
	}
	lease := b.Revoke - revokeMargin
	f := &freshnessMonitor{
		node: n, table: n.deploy.RowCodec.Table(), lease: lease, tracker: freshness.NewTracker(lease, n.sinceBoot),
		activated: make(chan struct{}, 1), rowsRequests: rate.NewLimiter(rate.Every(configurationRequestInterval), 1),
		rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	n.metrics.addFreshness(n.registry, f.remaining)
	return f
}

// active reports whether the configuration in force has accounts.
func (f *freshnessMonitor) active() bool {
	if f == nil {
		return false
	}
	t := f.node.routingTable.Load()
	return t != nil && t.Accounts != nil
}

// fresh implements dispatch.Options.Fresh. Without accounts in force it returns false: a
// configuration with accounts that comes into force right afterwards may be an old one.
func (f *freshnessMonitor) fresh() bool { return f.active() && f.tracker.Fresh() }

// remaining returns for how many seconds the configuration in force stays fresh; -1 if that does
// not matter.
func (f *freshnessMonitor) remaining() float64 {
	if !f.active() {
		return -1
	}
	return f.tracker.Remaining().Seconds()
}

func (f *freshnessMonitor) copy() freshness.Copy {
	version, changes := f.node.cache.State(f.table)
	return freshness.Copy{Version: version, Changes: changes}
}

// read records an answered read whose rows are in the copy. An answer with an older version than
// the copy had when the read was sent tells nothing: the store has lost changes. Nor does one while
// a peer has a newer configuration in force, which a restored store may have lost, or while own
// does not let it count.
func (f *freshnessMonitor) read(table string, r tableRead) {
	if f == nil || table != f.table || r.version < r.after {
		return
	}
	f.note(func() { f.held = &heldRead{r.sentAt, r.version} })
	f.count()
}

// copied records that rows of a peer are in the copy.
func (f *freshnessMonitor) copied(table string) {
	if f == nil || table != f.table {
		return
	}
	f.tracker.Copied(f.copy())
	f.noteState()
}

// applied records that the first changes changes of the copy are applied.
func (f *freshnessMonitor) applied(changes uint64) {
	if f == nil {
		return
	}
	f.note(func() { f.appliedChanges = max(f.appliedChanges, changes) })
	f.tracker.Applied(changes, f.copy())
	f.count()
	f.noteState()
}

// activate makes run ask peers at once, after accounts have come into force.
func (f *freshnessMonitor) activate() {
	if f == nil {
		return
	}
	select {
	case f.activated <- struct{}{}:
	default: // run has not received the last value yet
	}
}

// feedWait returns how long a read of the feed may wait for changes if it would wait for the
// given time otherwise. The answer tells that the copy was current when the read was sent, so
// a long wait makes it worthless, and one that begins late must not wait at all.
func (f *freshnessMonitor) feedWait(wait time.Duration) time.Duration {
	if !f.active() {
		return wait
	}
	if f.tracker.Remaining() < f.lease/2 {
		return 0
	}
	return min(wait, time.Duration(feedWaitShare*float64(f.lease)))
}

// run asks peers until ctx ends. The reads of a node that follows the feed leave it nothing to ask
// while the store answers.
func (f *freshnessMonitor) run(ctx context.Context) {
	if f == nil {
		return
	}
	var vain freshness.Vain
	for ctx.Err() == nil {
		if !f.active() {
			f.sleep(ctx, checkAgeInterval)
			continue
		}
		f.noteState()
		remaining := f.tracker.Remaining()
		if freshness.Low(f.lease, remaining) {
			f.ask(vain.Next(remaining, f.tracker.Until()))
		}
		f.sleep(ctx, min(freshness.AskAfter(f.lease, remaining, rand.Float64()), checkAgeInterval))
	}
}

// sleep waits for the given time or until accounts come into force.
func (f *freshnessMonitor) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.activated:
	}
}

// ask sends a question to some peers.
func (f *freshnessMonitor) ask(vain int) {
	links := make(map[string]*link.Link)
	var candidates []freshness.Peer
	following := f.node.election.following(time.Now())
	for _, l := range f.node.peers.openLinks() {
		links[l.Peer.Node] = l
		candidates = append(candidates, freshness.Peer{
			Name: l.Peer.Node, Follower: following[l.Peer.Node], SameDomain: l.Peer.FailureDomain == f.node.settings.FailureDomain,
		})
	}
	f.mu.Lock()
	chosen := freshness.Choose(candidates, vain, f.rnd)
	f.mu.Unlock()
	for _, p := range chosen {
		f.node.metrics.freshnessQuestions.Inc()
		_ = links[p.Name].Send(link.KindFreshnessRequest, link.FreshnessRequest{Number: f.tracker.Ask()}) // without an answer, others are asked
	}
}

// noteState logs when the configuration becomes fresh or stale.
func (f *freshnessMonitor) noteState() {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.fresh()
	if fresh == f.reported {
		return
	}
	f.reported = fresh
	version := f.node.cache.Version(f.table)
	if fresh {
		event.ConfigurationFresh.Log("copy", version)
		return
	}
	if f.active() {
		f.node.metrics.freshnessLosses.Inc()
		event.ConfigurationStale.Log("copy", version)
	}
}

// FreshnessRequest answers a peer, unless this node can't tell either.
func (h *handler) FreshnessRequest(l *link.Link, r link.FreshnessRequest) {
	n := (*Node)(h)
	if n.freshness == nil {
		return
	}
	version, age, ok := n.freshness.tracker.Report()
	t := n.routingTable.Load()
	if !ok || t == nil {
		return
	}
	roundedUp := uint64((age + time.Microsecond - 1) / time.Microsecond)
	_ = l.Send(link.KindFreshness, link.Freshness{Number: r.Number, Version: version, Age: roundedUp, Configuration: t.Version}) // the peer asks again
}

// Freshness uses a peer's answer. It tells nothing while the peer has a newer configuration in
// force: the newest row may be malformed and the one before it missing here.
func (h *handler) Freshness(l *link.Link, a link.Freshness) {
	n := (*Node)(h)
	f := n.freshness
	if f == nil || a.Age > uint64(f.lease/time.Microsecond) {
		return
	}
	n.considerRows(l, f.table, a.Version, a.Configuration)
	if n.lacksConfiguration(f.table, a.Configuration) {
		return
	}
	f.note(func() { f.own.Confirmed(a.Version) })
	f.count()
	f.tracker.Answer(a.Number, a.Version, time.Duration(a.Age)*time.Microsecond, f.copy())
	f.noteState()
}
