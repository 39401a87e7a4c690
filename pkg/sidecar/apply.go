package sidecar

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// applied remembers which versions of rows have been looked at. Only applyRows
// uses it.
type applied struct {
	configuration uint64
	rows          map[string]uint64
}

// applyRows puts in force what the rows say. One goroutine runs it.
func (n *Node) applyRows(ctx context.Context) {
	state := applied{rows: make(map[string]uint64)}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.cache.Changed():
			n.applyConfiguration(&state)
			n.applyOrders(&state)
			n.applyMoves(&state)
			n.peers.setKnown(n.cache.Rows(meshTable))
		}
	}
}

// applyConfiguration swaps in a newer configuration. What a peer has in force is
// looked at before the newest row, which may be malformed.
func (n *Node) applyConfiguration(state *applied) {
	table := n.deploy.RowCodec.Table()
	if row, ok := n.cache.Accepted(table); ok {
		n.applyConfigurationRow(state, row)
	}
	if row, ok := n.cache.Get(table, n.deploy.RowCodec.ConfigurationKey()); ok {
		n.applyConfigurationRow(state, row)
	}
}

// applyConfigurationRow puts a newer row in force. A bad or older configuration
// leaves the one in force.
func (n *Node) applyConfigurationRow(state *applied, row rowcache.Row) {
	if row.Version <= state.configuration {
		return
	}
	state.configuration = row.Version
	table, err := n.deploy.RowCodec.Configuration(row.Value)
	if err != nil {
		n.metrics.configurationsRejected.Inc()
		event.RevisionRejected.LogError(err, "row", row.Version)
		return
	}
	old := n.table.Load()
	if old != nil && table.Version <= old.Version {
		n.metrics.configurationsRejected.Inc()
		event.RevisionRejected.Log("row", row.Version, "version", table.Version, "inForce", old.Version)
		return
	}
	n.table.Store(table)
	n.cache.SetAccepted(row)
	n.metrics.configuration.Set(float64(table.Version))
	event.RevisionInForce.Log("version", table.Version, "row", row.Version, "routes", table.Routes())
	if old == nil {
		event.NodeReady.Log("version", table.Version)
	}
}

// applyOrders takes new orders of roll-outs.
func (n *Node) applyOrders(state *applied) {
	for _, row := range n.cache.Rows(n.deploy.RowCodec.Table()) {
		if state.seen(row) {
			continue
		}
		order, ok, err := n.deploy.RowCodec.Order(row)
		if err != nil {
			event.MoveOrderMalformed.LogError(err, "row", row.Key)
			continue
		}
		if ok && n.rollouts.Begin(order, time.Now()) {
			event.MoveOrdered.Log("service", order.Service, "target", order.Target, "window", order.Window, "order", order.Revision)
		}
	}
}

// applyMoves takes the recorded states of roll-outs.
func (n *Node) applyMoves(state *applied) {
	for _, row := range n.cache.Rows(meshTable) {
		service, ok := strings.CutPrefix(row.Key, moveKeyPrefix)
		if !ok || state.seen(row) {
			continue
		}
		var record moveRecord
		if err := cbor.Unmarshal(row.Value, &record); err != nil {
			event.MoveOrderMalformed.LogError(err, "row", row.Key)
			continue
		}
		n.rollouts.Begin(record.order(service), time.Now())
		if n.rollouts.SetState(service, record.Order, record.State, true) {
			event.MoveOutcome.Log("service", service, "target", record.Target, "state", record.State, "row", row.Version)
		}
	}
}

// seen reports whether this version of a row was looked at before.
func (s *applied) seen(row rowcache.Row) bool {
	name := row.Table + "/" + row.Key
	if s.rows[name] >= row.Version {
		return true
	}
	s.rows[name] = row.Version
	return false
}
