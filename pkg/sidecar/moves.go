package sidecar

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/rollout"
)

// moveRecord is the row with the recorded state of a rollout. It is written in one
// transaction with the operator's status row, so that both always agree.
type moveRecord struct {
	Target   string        `cbor:"1,keyasint"`
	Order    uint64        `cbor:"2,keyasint"`
	State    rollout.State `cbor:"3,keyasint"`
	WindowMs int64         `cbor:"5,keyasint"`
	// Rejected and Superseded are versions of earlier orders, see rollout.Record.
	Rejected   []string `cbor:"6,keyasint,omitempty"`
	Superseded []string `cbor:"7,keyasint,omitempty"`
}

func newMoveRecord(r rollout.Record) moveRecord {
	return moveRecord{
		Target: r.Order.Target, Order: r.Order.Revision, State: r.State, WindowMs: r.Order.Window.Milliseconds(),
		Rejected: r.Rejected, Superseded: r.Superseded,
	}
}

func (r moveRecord) record(service string) rollout.Record {
	return rollout.Record{
		Order:    rollout.Order{Service: service, Target: r.Target, Revision: r.Order, Window: time.Duration(r.WindowMs) * time.Millisecond},
		State:    r.State,
		Rejected: r.Rejected, Superseded: r.Superseded,
	}
}

// runRollouts periodically shares this node's evidence with its peers, decides the
// active rollouts and records their states. It runs until ctx ends.
func (n *Node) runRollouts(ctx context.Context) {
	recorder := moveRecorder{node: n, dueSince: make(map[moveKey]time.Time)}
	every(ctx, time.NewTicker(rolloutInterval), func() {
		if evidence, ok := n.recorder.Take(time.Now()); ok {
			n.rollouts.Observe(time.Now(), evidence)
			n.peers.broadcast(link.KindEvidence, link.Evidence{Evidence: evidence})
		}
		for _, d := range n.rollouts.Decide(time.Now()) {
			if d.State == rollout.RolledBack && n.rollouts.SetState(d.Order.Service, d.Order.Revision, d.State, false) {
				event.VersionRejected.Log("service", d.Order.Service, "target", d.Order.Target, "verdict", d.Verdict, "route", d.Route, "responses", d.Responses)
			}
			recorder.recordIfDue(ctx, d)
		}
	})
}

// evidenceForPeer returns the rollout evidence to send on a new link. The preferred
// followers of each failure domain send the evidence of all nodes, including that of
// processes that have ended; the others send their own only, since every node would
// otherwise receive everything from all others.
func (n *Node) evidenceForPeer(now time.Time) []rollout.Evidence {
	evidence := n.rollouts.Evidence(now)
	if n.election.preferred(time.Now()) {
		return evidence
	}
	return slices.DeleteFunc(evidence, func(e rollout.Evidence) bool { return len(e.Routes) > 0 && e.Process != n.process })
}

type moveKey struct {
	service  string
	revision uint64
	state    rollout.State
}

// moveRecorder writes the states of rollouts to the store. The nodes' attempts are
// staggered, so that usually only one node writes; the condition on the row's version
// resolves concurrent writes. It is not safe for concurrent use; runRollouts owns it.
type moveRecorder struct {
	node     *Node
	dueSince map[moveKey]time.Time // when the state was decided, or last attempted to be written
}

func (r *moveRecorder) recordIfDue(ctx context.Context, d rollout.Decision) {
	now := time.Now()
	key := moveKey{d.Order.Service, d.Order.Revision, d.State}
	first, ok := r.dueSince[key]
	if !ok {
		first = now
		r.dueSince[key] = now
	}
	row, found := r.node.cache.Get(meshTable, moveKeyPrefix+d.Order.Service)
	var record moveRecord
	if found && cbor.Unmarshal(row.Value, &record) == nil && record.Order == d.Order.Revision &&
		(record.State == d.State || record.State != rollout.Running) {
		return // this state, or another final one, is already recorded
	}
	if now.Sub(first) < time.Duration(r.writerRank(d))*recordStagger {
		return
	}
	r.dueSince[key] = now // a retry waits for the same delay again
	version := row.Version
	if !found {
		version = 0 // the row of a lost record is a tombstone with a version
	}
	next := record.record(d.Order.Service).Next(d.Order, d.State, r.node.rollouts.Verdicts(d.Order.Service))
	go r.node.record(ctx, d, next, version)
}

// writerRank returns the position of this node among the reachable nodes, ordered by a
// hash of service and node name. Nodes that see the same peers agree on the order.
func (r *moveRecorder) writerRank(d rollout.Decision) int {
	names := append(r.node.peers.names(), r.node.settings.Node)
	rank := func(name string) uint64 { return rankHash(d.Order.Service + "/" + name) }
	slices.SortFunc(names, func(a, b string) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return slices.Index(names, r.node.settings.Node)
}

// record writes the record for all nodes and the state for the operator in one transaction. It
// fails if another node has changed the record's row since the given version.
func (n *Node) record(ctx context.Context, d rollout.Decision, next rollout.Record, version uint64) {
	status, err := n.deploy.RowCodec.Status(d.Order, d.State)
	if err != nil {
		event.MoveOutcomePending.LogError(err)
		return
	}
	value, err := cbor.Marshal(newMoveRecord(next))
	if err != nil {
		event.MoveOutcomePending.LogError(err)
		return
	}
	write := platform.Write{Key: meshTable + "/" + moveKeyPrefix + d.Order.Service, Value: value, Condition: platform.IfRevision, Revision: version}
	if version == 0 {
		write.Condition = platform.IfAbsent
	}
	n.metrics.storeCalls.Inc()
	err = n.deploy.Store.Transact(ctx, []platform.Write{write, status})
	switch {
	case err == nil:
		event.MoveOutcome.Log("service", d.Order.Service, "target", d.Order.Target, "state", d.State, "verdict", d.Verdict, "responses", d.Responses)
	case errors.Is(err, platform.ErrConflict):
		// Another node has recorded a state; its row arrives with the feed.
	default:
		event.MoveOutcomePending.LogError(err, "service", d.Order.Service, "state", d.State)
	}
}
