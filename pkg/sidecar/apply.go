package sidecar

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/contain"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// processedVersions holds the last processed version of the configuration and of
// each row. It is not safe for concurrent use; applyRows owns it.
type processedVersions struct {
	configuration uint64
	rows          map[string]uint64
	// meshEra is the era of the store in which the mesh's own table was last read.
	meshEra uint64
}

// applyRows applies changed rows until ctx ends: departures of local servers, rollout orders and
// states, evacuations, the configuration, and the addresses of other nodes. It runs in one goroutine.
func (n *Node) applyRows(ctx context.Context) {
	state := processedVersions{rows: make(map[string]uint64)}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.cache.Changed():
		case <-n.recheck:
		}
		n.applyChanges(&state)
	}
}

// recheckRows makes applyRows run although no row has changed.
func (n *Node) recheckRows() {
	select {
	case n.recheck <- struct{}{}:
	default: // already requested
	}
}

func (n *Node) applyChanges(state *processedVersions) {
	if !n.cache.Loaded(meshTable) {
		return // requests must not reach servers or versions that its rows exclude
	}
	defer func() { n.peers.setRows(n.cache.Rows(meshTable)) }()
	if !n.startRows.mayApply() {
		return // links are opened meanwhile: other nodes may have newer rows
	}
	n.checkMeshEra(state)
	_, changes := n.cache.State(n.deploy.RowCodec.Table()) // before the rows are read
	n.applyDepartures(state)
	n.applyOrders(state)
	n.applyMoves(state)
	// The configuration that a peer has in force may arrive before the other rows.
	if n.cache.Loaded(n.deploy.RowCodec.Table()) {
		n.applyEvacuations()
		n.applyAccountMembers(state)
		n.applyConfiguration(state)
		n.starting.release()
	}
	n.freshness.applied(changes)
	n.freezes.rowsApplied(changes)
}

// checkMeshEra makes what this process has written to the mesh's own table count as not written
// if the store was restored from an older copy since.
func (n *Node) checkMeshEra(state *processedVersions) {
	if era := platform.EraOf(n.cache.Version(meshTable)); era > state.meshEra {
		state.meshEra = era
		event.StoreRestored.Log("table", meshTable, "era", era)
		n.departures.forgetStored()
	}
}

// applyConfiguration applies a newer configuration. The configurations that peers have
// in force are processed before the newest row, because the newest row may be malformed or, after
// the store was restored from an older copy, hold an older configuration.
func (n *Node) applyConfiguration(state *processedVersions) {
	table := n.deploy.RowCodec.Table()
	for _, row := range n.cache.Offered(table) {
		n.applyConfigurationRow(row)
	}
	row, ok := n.cache.Get(table, n.deploy.RowCodec.ConfigurationKey())
	if !ok || row.Version <= state.configuration {
		return
	}
	state.configuration = row.Version
	if accepted, ok := n.cache.Accepted(table); !ok || accepted.Version != row.Version { // not offered by a peer
		n.applyConfigurationRow(row)
	}
}

// applyConfigurationRow puts the configuration in the row in force. An invalid or older
// configuration is rejected and the one in force is kept.
func (n *Node) applyConfigurationRow(row rowcache.Row) {
	defer contain.Recover(contain.Row, func(error) { n.metrics.configurationsRejected.Inc(); n.freshness.rejected(row, false) })
	table, err := n.deploy.RowCodec.Configuration(row.Value)
	if err != nil {
		n.metrics.configurationsRejected.Inc()
		event.RevisionRejected.LogError(err, "row", row.Version)
		n.freshness.rejected(row, false)
		return
	}
	old := n.routingTable.Load()
	if old != nil && table.Version == old.Version {
		n.cache.SetAccepted(row) // written again after the store was restored
		n.freshness.inForce(row)
		return
	}
	if old != nil && table.Version <= old.Version {
		n.metrics.configurationsRejected.Inc()
		event.RevisionRejected.Log("row", row.Version, "version", table.Version, "inForce", old.Version)
		n.freshness.rejected(row, true)
		return
	}
	n.applyColdRate(table)
	n.limits.configure(table)
	n.usage.configure(table)
	n.routingTable.Store(table)
	if table.Accounts != nil && (old == nil || old.Accounts == nil) {
		n.freshness.activate()
	}
	n.announceColdness()
	n.cache.SetAccepted(row)
	n.freshness.inForce(row)
	n.metrics.configuration.Set(float64(table.Version))
	accounts := -1
	if table.Accounts != nil {
		accounts = table.Accounts.Len()
	}
	n.metrics.accounts.Set(float64(accounts))
	event.RevisionInForce.Log("version", table.Version, "row", row.Version, "routes", table.Routes(), "accounts", accounts)
	if old == nil {
		event.NodeReady.Log("version", table.Version)
		n.peers.announceVersions() // starting peers wait to be told
	}
}

// applyOrders starts the rollouts that new order rows request.
func (n *Node) applyOrders(state *processedVersions) {
	for _, row := range n.cache.Rows(n.deploy.RowCodec.Table()) {
		if state.seen(row) {
			continue
		}
		n.applyOrder(row)
	}
}

func (n *Node) applyOrder(row rowcache.Row) {
	defer contain.Recover(contain.Row, func(error) {})
	order, ok, err := n.deploy.RowCodec.Order(row)
	if err != nil {
		event.MoveOrderMalformed.LogError(err, "row", row.Key)
		return
	}
	if ok && n.rollouts.Begin(order, time.Now()) {
		event.MoveOrdered.Log("service", order.Service, "target", order.Target, "window", order.Window, "order", order.Revision)
	}
}

// applyMoves applies the rollout states that nodes have recorded in the store.
func (n *Node) applyMoves(state *processedVersions) {
	for _, row := range n.cache.Rows(meshTable) {
		service, ok := strings.CutPrefix(row.Key, moveKeyPrefix)
		if !ok || state.seen(row) {
			continue
		}
		n.applyMove(service, row)
	}
}

func (n *Node) applyMove(service string, row rowcache.Row) {
	defer contain.Recover(contain.Row, func(error) {})
	var record moveRecord
	if err := cbor.Unmarshal(row.Value, &record); err != nil {
		event.MoveOrderMalformed.LogError(err, "row", row.Key)
		return
	}
	if n.rollouts.Apply(time.Now(), record.record(service)) {
		event.MoveOutcome.Log("service", service, "target", record.Target, "state", record.State, "row", row.Version)
	}
}

// applyAccountMembers applies the row with the nodes that have a share of the account limits.
func (n *Node) applyAccountMembers(state *processedVersions) {
	if row, ok := n.cache.Get(meshTable, accountMembersKey); ok && !state.seen(row) {
		n.limits.members.apply(row)
	}
}

// seen reports whether this version of a row has been processed and marks it as
// processed.
func (s *processedVersions) seen(row rowcache.Row) bool {
	name := row.Table + "/" + row.Key
	if s.rows[name] >= row.Version {
		return true
	}
	s.rows[name] = row.Version
	return false
}
