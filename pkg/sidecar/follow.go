package sidecar

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

func (n *Node) followOperator(ctx context.Context) { n.follow(ctx, n.deploy.RowCodec.Table()) }

func (n *Node) followMesh(ctx context.Context) { n.follow(ctx, meshTable) }

// follow keeps the local copy of one table up to date until ctx ends. It reads the
// store's change feed while this node is elected to, and otherwise relies on the rows
// that peers send.
func (n *Node) follow(ctx context.Context, table string) {
	backoff := time.Duration(0)
	relist, first := true, true
	if table == n.deploy.RowCodec.Table() && n.receivedFromPeers(ctx, table) {
		relist, first = false, false
	}
	for ctx.Err() == nil {
		if !relist && !n.election.elected(time.Now()) && !n.freezes.readsStore(table) {
			n.stopFollowing(table)
			sleep(ctx, followCheckInterval/2+rand.N(followCheckInterval))
			continue
		}
		began := time.Now()
		err := n.readTable(ctx, table, relist)
		switch {
		case err == nil:
			if backoff > 0 {
				event.PlatformUp.Log("table", table)
			}
			n.metrics.storeLastResponse.WithLabelValues(table).SetToCurrentTime()
			backoff, relist = 0, false
			n.startFollowing(table)
			n.peers.announceVersions()
			if first {
				// Links to peers are established meanwhile; their messages show which nodes
				// already follow the feed.
				sleep(ctx, linkSetupDelay)
				first = false
			}
			sleep(ctx, feedPause/2+rand.N(feedPause))
		case errors.Is(err, platform.ErrHistoryGone):
			event.StoreHistoryTruncated.Log("table", table, "after", n.cache.Version(table))
			relist = true
			sleep(ctx, rand.N(relistJitter))
		case ctx.Err() == nil:
			if backoff == 0 {
				event.PlatformDown.LogError(err, "table", table, "copy", n.cache.Version(table), "waited", time.Since(began))
			}
			n.metrics.storeFailures.Inc()
			if table == meshTable && !n.cache.Loaded(table) {
				n.confirmation.storeAway.Store(true)
			}
			if n.stopFollowing(table) {
				n.peers.announceVersions()
			}
			backoff = min(max(2*backoff, storeBackoffMin), storeBackoffMax)
			if !n.election.preferred(time.Now()) && n.routingTable.Load() != nil {
				backoff = substituteBackoff
			}
			sleep(ctx, backoff/2+rand.N(backoff))
		}
	}
}

// receivedFromPeers waits for peers to send the rows of a table and reports whether they have.
// Only a node that is new to the mesh waits: it is not missed yet, and in a fleet that grows
// each node would otherwise read every table from the store.
func (n *Node) receivedFromPeers(ctx context.Context, table string) bool {
	if !await(ctx, meshReadWait, func() bool { return n.cache.Loaded(meshTable) }) {
		return false
	}
	others := false
	for _, row := range n.cache.Rows(meshTable) {
		name, ok := strings.CutPrefix(row.Key, nodeKeyPrefix)
		if ok && name == n.settings.Node {
			return false
		}
		others = others || ok
	}
	return others && await(ctx, firstRowsWait, func() bool { return n.cache.Loaded(table) })
}

// startFollowing marks the feed of a table as followed by this node.
func (n *Node) startFollowing(table string) {
	if _, already := n.following.LoadOrStore(table, true); !already {
		event.FeedSubscribed.Log("table", table, "copy", n.cache.Version(table))
	}
}

// stopFollowing marks the feed of a table as not followed by this node. It reports
// whether it was followed before.
func (n *Node) stopFollowing(table string) bool {
	_, did := n.following.LoadAndDelete(table)
	if did {
		event.FeedUnsubscribed.Log("table", table, "copy", n.cache.Version(table))
	}
	return did
}

// followsAll reports whether this node follows the feed of every table.
func (n *Node) followsAll() bool {
	for _, table := range []string{n.deploy.RowCodec.Table(), meshTable} {
		if _, ok := n.following.Load(table); !ok {
			return false
		}
	}
	return true
}

// readTable reads the table once: all rows if full is true, otherwise the changes since
// the version of the local copy.
func (n *Node) readTable(ctx context.Context, table string, full bool) error {
	read := n.listRead(table)
	if !full {
		read = n.changesRead(table)
	}
	r := read.run(ctx)
	if r.err == nil {
		n.freshness.reading(table, r, full)
	}
	switch {
	case r.err != nil:
		return r.err
	case full:
		n.cache.Replace(table, r.rows, r.version)
	default:
		n.keepReplaced(table, r.rows)
		n.cache.Apply(table, r.rows, r.version)
	}
	n.startRows.read(table)
	n.freezes.read(table, r)
	n.freshness.read(table, r)
	n.shares.read(table, r)
	return nil
}

// keepReplaced keeps the newest valid configuration among changes in which a malformed one follows
// it: the copy holds only the last version of a row.
func (n *Node) keepReplaced(table string, changes []rowcache.Row) {
	if table != n.deploy.RowCodec.Table() {
		return
	}
	var versions []rowcache.Row
	for _, row := range changes {
		if row.Key == n.deploy.RowCodec.ConfigurationKey() {
			versions = append(versions, row)
		}
	}
	if len(versions) < 2 {
		return
	}
	slices.SortFunc(versions, func(a, b rowcache.Row) int { return cmp.Compare(b.Version, a.Version) })
	for i, row := range versions {
		t, err := n.deploy.RowCodec.Configuration(row.Value)
		if err != nil {
			continue
		}
		if inForce := n.routingTable.Load(); i > 0 && (inForce == nil || t.Version > inForce.Version) {
			n.cache.Offer(row)
		}
		return
	}
}

// listRead returns the read of all rows of a table.
func (n *Node) listRead(table string) hedgedRead {
	after := n.cache.Version(table)
	list := func(ctx context.Context) tableRead {
		n.metrics.storeCalls.Inc()
		sentAt, began := n.sinceBoot(), quotaTime()
		rows, version, err := n.deploy.Store.List(ctx, table)
		return n.checked(table, tableRead{rows, version, err, after, sentAt, began})
	}
	overdue := n.readOverdue()
	return hedgedRead{first: list, repeat: list, overdue: overdue, interval: overdue, beforeRepeat: n.beforeReadRepeat(table)}
}

// changesRead returns the read of the changes of a table since the version of the local
// copy.
func (n *Node) changesRead(table string) hedgedRead {
	after := n.cache.Version(table)
	changes := func(wait time.Duration) func(context.Context) tableRead {
		return func(ctx context.Context) tableRead {
			n.metrics.storeCalls.Inc()
			sentAt, began := n.sinceBoot(), quotaTime()
			rows, version, err := n.deploy.Store.Changes(ctx, table, after, wait)
			return n.checked(table, tableRead{rows, version, err, after, sentAt, began})
		}
	}
	wait, overdue := n.feedWait(table), n.readOverdue()
	return hedgedRead{first: changes(wait), repeat: changes(0), overdue: wait + overdue, interval: overdue, beforeRepeat: n.beforeReadRepeat(table)}
}

// checked refuses a response that has rows of another table, and counts it and those that can't
// be read.
func (n *Node) checked(table string, r tableRead) tableRead {
	if r.err == nil {
		r.err = rowcache.Check(table, r.rows)
	}
	if errors.Is(r.err, rowcache.ErrForeignRow) || errors.Is(r.err, platform.ErrUnreadable) {
		n.metrics.storeResponsesRefused.Inc()
		event.StoreResponseRefused.LogError(r.err, "table", table, "copy", n.cache.Version(table))
	}
	return r
}

// feedWait returns how long a feed request waits for changes of a table. For the
// operator's table it bounds the time for which a lost request can hide a configuration.
func (n *Node) feedWait(table string) time.Duration {
	if _, waiting := n.freezes.waiting(); waiting {
		return 0
	}
	if table == n.deploy.RowCodec.Table() {
		return n.freshness.feedWait(n.settings.Bounds.ConfigApply / 2)
	}
	return meshFeedWait
}

// readOverdue returns how long the response to a read may take before the read is
// repeated. Together with feedWait it leaves a quarter of the bound for the distribution
// of a configuration.
func (n *Node) readOverdue() time.Duration { return n.settings.Bounds.ConfigApply / 4 }

// beforeReadRepeat returns the function that is called before each repeat of a read.
func (n *Node) beforeReadRepeat(table string) func() {
	return func() {
		n.metrics.storeRepeats.Inc()
		event.StoreReadRepeated.Log("table", table, "copy", n.cache.Version(table))
	}
}

// await waits until holds returns true, and reports whether it did before the timeout and
// the end of ctx.
func await(ctx context.Context, timeout time.Duration, holds func() bool) bool {
	for end := time.Now().Add(timeout); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, awaitInterval) {
		if holds() {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
