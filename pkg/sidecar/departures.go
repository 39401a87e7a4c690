package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/instance"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// departureRecorder writes the departures of the servers beside this node to the node's row
// in the store, so that they outlive all processes. It is safe for concurrent use; mu guards
// the fields below it.
type departureRecorder struct {
	node *Node
	due  chan struct{} // holds a value if departures may not be in the row yet

	mu     sync.Mutex
	stored instance.Departures
	// changed is closed and replaced when stored changes.
	changed chan struct{}
}

func newDepartureRecorder(n *Node) *departureRecorder {
	return &departureRecorder{node: n, due: make(chan struct{}, 1), changed: make(chan struct{})}
}

// run writes departures as they become known, until ctx ends.
func (d *departureRecorder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.due:
			d.write(ctx)
		}
	}
}

// request makes run write the departures that are not in the row yet.
func (d *departureRecorder) request() {
	select {
	case d.due <- struct{}{}:
	default: // already requested
	}
}

// write tries until the row has all departures or ctx ends.
func (d *departureRecorder) write(ctx context.Context) {
	backoff, timeout, reread := time.Duration(0), departureWriteTimeout, false
	for ctx.Err() == nil {
		wanted := d.node.tracker.Departures()
		if _, ok := d.recorded(wanted); ok {
			return
		}
		err := d.attempt(ctx, timeout, wanted, reread)
		if err == nil {
			continue
		}
		reread = true
		if errors.Is(err, platform.ErrConflict) {
			continue
		}
		if backoff == 0 {
			event.DepartureWriteFailed.LogError(err, "departures", len(wanted))
		}
		d.node.metrics.departureWriteFailures.Inc()
		// The first repeat follows at once: the connection may have stopped delivering.
		sleep(ctx, backoff)
		backoff, timeout = min(max(2*backoff, storeBackoffMin), storeBackoffMax), 2*timeout
	}
}

// attempt writes the row once. The row may have departures that an earlier process wrote.
func (d *departureRecorder) attempt(ctx context.Context, timeout time.Duration, wanted instance.Departures, reread bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	row, found, err := d.row(ctx, reread)
	if err != nil {
		return err
	}
	all, err := decodeDepartures(row.Value)
	if err != nil {
		event.DepartureRowMalformed.LogError(err, "row", row.Key) // it is written anew
	}
	if reread && all.Contain(wanted) { // an earlier write was done, only its response was lost
		d.addStored(all)
		return nil
	}
	all = all.With(wanted...)
	value, err := cbor.Marshal(all)
	if err != nil {
		return err
	}
	write := platform.Write{Key: row.Key, Value: value, Condition: platform.IfAbsent}
	if found {
		write.Condition, write.Revision = platform.IfRevision, row.Revision
	}
	d.node.metrics.storeCalls.Inc()
	if err := d.node.deploy.Store.Transact(ctx, []platform.Write{write}); err != nil {
		return err
	}
	d.addStored(all)
	return nil
}

// row returns the node's row from the local copy or, if that may be behind, from the store.
func (d *departureRecorder) row(ctx context.Context, reread bool) (platform.Row, bool, error) {
	name := departureKeyPrefix + d.node.settings.Node
	key := meshTable + "/" + name
	if !reread && d.node.cache.Loaded(meshTable) {
		row, found := d.node.cache.Get(meshTable, name)
		return platform.Row{Key: key, Revision: row.Version, Value: row.Value}, found, nil
	}
	d.node.metrics.storeCalls.Inc()
	row, found, err := d.node.deploy.Store.Get(ctx, key)
	row.Key = key
	return row, found, err
}

// addStored notes what the row has. A row that arrives late with the feed takes nothing away.
func (d *departureRecorder) addStored(all instance.Departures) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stored = d.stored.With(all...)
	close(d.changed)
	d.changed = make(chan struct{})
}

// forgetStored makes run compare the row with the known departures again.
func (d *departureRecorder) forgetStored() {
	d.mu.Lock()
	d.stored = nil
	d.mu.Unlock()
	if len(d.node.tracker.Departures()) > 0 {
		d.request()
	}
}

// recorded reports whether the row has all of the given departures, and returns a channel
// that is closed when the row changes.
func (d *departureRecorder) recorded(all instance.Departures) (changed <-chan struct{}, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed, d.stored.Contain(all)
}

// await waits until the row has all departures that are known now, at most for the given
// time, and reports whether it has.
func (d *departureRecorder) await(atMost time.Duration) bool {
	wanted := d.node.tracker.Departures()
	timeout := time.NewTimer(atMost)
	defer timeout.Stop()
	for {
		changed, ok := d.recorded(wanted)
		if ok {
			return true
		}
		d.request()
		select {
		case <-changed:
		case <-timeout.C:
			return false
		}
	}
}

// preserveDepartures makes all known departures outlive this process and reports whether it
// could: they are in the store or, while the store is away, at other nodes.
func (n *Node) preserveDepartures() bool {
	if n.departures.await(departureStoreTimeout) {
		return true
	}
	copies := n.peers.awaitWritten(leaveCopies, leaveCopiesTimeout)
	event.DepartureInPeersOnly.Log("copies", copies)
	return copies > 0
}

// applyDepartures applies the departures that earlier processes of this node recorded.
func (n *Node) applyDepartures(state *processedVersions) {
	row, ok := n.cache.Get(meshTable, departureKeyPrefix+n.settings.Node)
	if ok && !state.seen(row) {
		n.applyDepartureRow(row)
	}
}

func (n *Node) applyDepartureRow(row rowcache.Row) {
	all, err := decodeDepartures(row.Value)
	if err != nil {
		event.DepartureRowMalformed.LogError(err, "row", row.Key)
		return
	}
	n.departures.addStored(all)
	n.learnDepartures(all, row.Key)
}

func decodeDepartures(raw []byte) (instance.Departures, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	var all instance.Departures
	if err := cbor.Unmarshal(raw, &all); err != nil {
		return nil, err
	}
	return all.With(), nil
}
