package node

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/member"
	"corianderwood.example/corianderwood/pkg/platform"
)

// memberRow is the table row through which joining nodes find one instance.
type memberRow struct {
	ControlAddr   string `json:"control_addr"`
	FailureDomain string `json:"failure_domain"`
}

// runJoin joins the mesh through the configured and stored addresses. It tries again
// whenever a known address does not belong to a live member: nodes that start at the
// same time may first form separate groups, and a node must rejoin after a network
// partition. Until the first join a member that has contacted this node counts as well,
// because only a join returns the dead members, which the minimum revision depends on.
func (n *Node) runJoin(ctx context.Context) error {
	joined := false
	for attempt := 0; ; attempt++ {
		if !sleep(ctx, joinWait(attempt)) {
			return nil
		}
		alive := n.aliveAddrs()
		addrs := n.unjoined(n.settings.Peers, alive)
		if !joined {
			addrs = n.unjoined(slices.AppendSeq(addrs, maps.Keys(alive)), nil)
		}
		if len(alive) == 0 || attempt >= joinDoublings {
			addrs = append(addrs, n.unjoined(n.memberAddrs(ctx), alive)...)
		}
		if len(addrs) == 0 {
			continue
		}
		if err := n.agent.Join(ctx, addrs[:1]); err != nil {
			n.metrics.joins.WithLabelValues("failed").Inc()
			if attempt == joinDoublings && len(alive) == 0 {
				event.MeshJoinFailed.LogError(err)
			}
			continue
		}
		n.metrics.joins.WithLabelValues("joined").Inc()
		if len(alive) == 0 || !joined {
			// runMoveStates has to merge the move states received with the join first.
			time.AfterFunc(stateMergeDelay, n.splitter.SetSynced)
		}
		joined = true
		event.MeshJoined.Log("members", len(n.agent.Members()))
	}
}

// aliveAddrs returns the control addresses of the other live members.
func (n *Node) aliveAddrs() map[string]bool {
	alive := map[string]bool{}
	for _, m := range n.agent.Members() {
		if m.Instance != n.self.Instance && m.State != member.Dead {
			alive[m.ControlAddr] = true
		}
	}
	return alive
}

// unjoined returns, in random order, the addresses that do not belong to live members or
// to this node.
func (n *Node) unjoined(addrs []string, alive map[string]bool) []string {
	var rest []string
	for _, addr := range addrs {
		if !alive[addr] && addr != n.self.ControlAddr {
			rest = append(rest, addr)
		}
	}
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return rest
}

// joinWait returns a wait with exponential backoff and full jitter, so that nodes that
// start at the same time do not join at the same time.
func joinWait(attempt int) time.Duration {
	limit := min(joinMax, joinBase<<min(attempt, joinDoublings))
	return time.Duration(rand.Int64N(int64(limit)))
}

// memberAddrs returns control addresses from the table. It reads the shards of member
// rows in random order until one has addresses, because most shards are empty in a small
// mesh.
func (n *Node) memberAddrs(ctx context.Context) []string {
	for _, shard := range rand.Perm(memberShards) {
		rows, err := n.table.Query(ctx, memberShard(shard), memberRowsRead)
		n.platform.observe(err)
		if err != nil {
			return nil
		}
		if addrs := n.addrsOf(rows); len(addrs) > 0 {
			return addrs
		}
	}
	return nil
}

func (n *Node) addrsOf(rows []platform.Row) []string {
	var addrs []string
	for _, row := range rows {
		var m memberRow
		if json.Unmarshal(row.Value, &m) == nil && m.ControlAddr != "" && m.ControlAddr != n.self.ControlAddr {
			addrs = append(addrs, m.ControlAddr)
		}
	}
	return addrs
}

// runMemberRow periodically writes this instance's member row, through which joining
// nodes find it.
func (n *Node) runMemberRow(ctx context.Context) error {
	value, err := json.Marshal(memberRow{ControlAddr: n.self.ControlAddr, FailureDomain: n.self.FailureDomain})
	if err != nil {
		return err
	}
	key := memberShard(shardOf(n.self.Instance)) + n.self.Instance
	wait := jitter(joinBase)
	for sleep(ctx, wait) {
		wait = jitter(memberRowInterval)
		if err := n.table.Transact(ctx, []platform.Write{{Key: key, Value: value}}); err != nil {
			n.platform.observe(err)
			event.MemberRowWriteFailed.LogError(err)
			wait = jitter(memberRowRetry)
		}
	}
	return nil
}

func memberShard(shard int) string { return fmt.Sprintf("member/%02d/", shard) }

func shardOf(instance string) int {
	sum := 0
	for _, b := range []byte(instance) {
		sum = (sum*31 + int(b)) % memberShards
	}
	return sum
}
