package sidecar

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/rowcache"
	"corianderwood.example/corianderwood/pkg/shares"
)

// accountMembers knows the nodes that have a share of the account limits. One row of the mesh table
// holds them. It is written when the first configuration with limited accounts is in force, and later by
// accountShares only: if nodes counted the fleet by themselves, those that are cut off while it grows would
// use more than their part. It is safe for concurrent use; mu guards the members, establish owns the
// fields below them.
type accountMembers struct {
	node *Node
	set  func([]string)

	mu      sync.Mutex
	members []string

	linked      []string // nodes of which this node had a row and a link at the last check
	linkedSince time.Time
	absentSince time.Time // when this node first found no row
	checkAt     time.Time
}

func newAccountMembers(n *Node, set func([]string)) *accountMembers {
	return &accountMembers{node: n, set: set}
}

// known reports whether the members are known.
func (m *accountMembers) known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members != nil
}

// apply learns the members from their row. Without accountShares they never change afterwards.
func (m *accountMembers) apply(row rowcache.Row) {
	r, err := m.node.shares.learn(row)
	if err != nil {
		event.AccountSharesRejected.LogError(err, "row", row.Key, "version", row.Version)
		return
	}
	members, changing := r.Members, m.node.shares.active()
	m.mu.Lock()
	before := m.members
	if before == nil || changing {
		m.members = members
	}
	m.mu.Unlock()
	switch {
	case changing:
		m.node.limits.request()
	case before == nil:
		m.set(members)
	case !slices.Equal(before, members):
		event.AccountSharesRejected.Log("row", row.Key, "version", row.Version, "nodes", len(members), "inUse", len(before))
	}
}

// establish reports whether the members are known. If the store has no row with them, it writes
// one: when the set of nodes has settled, or the known members if the store has lost the row.
func (m *accountMembers) establish(ctx context.Context) bool {
	known := m.known()
	now := time.Now()
	if now.Before(m.checkAt) || !m.node.cache.Loaded(meshTable) {
		return known
	}
	m.checkAt = now.Add(memberCheckInterval)
	if _, ok := m.node.cache.Get(meshTable, accountMembersKey); ok {
		m.linkedSince, m.absentSince = time.Time{}, time.Time{}
		return known
	}
	if m.absentSince.IsZero() {
		m.absentSince = now
	}
	rows, linked := m.nodes()
	if m.linkedSince.IsZero() || !slices.Equal(linked, m.linked) {
		m.linked, m.linkedSince = linked, now
	}
	if !slices.Contains(linked, m.node.settings.Node) {
		return known
	}
	stagger := time.Duration(m.rank(linked)) * memberStagger
	unchanged, absent := now.Sub(m.linkedSince)-stagger, now.Sub(m.absentSince)-stagger
	if known {
		linked = m.all()
	}
	if known && unchanged < 0 || !known && !settled(rows, len(linked), unchanged, absent) {
		return known
	}
	m.checkAt = now.Add(memberRetry)
	if value, ok := m.value(linked); ok {
		go m.node.writeAccountMembers(ctx, platform.Write{Value: value, Condition: platform.IfAbsent})
	}
	return known
}

// value returns the value of the row that names the members, or that the store has lost.
func (m *accountMembers) value(members []string) ([]byte, bool) {
	if m.known() && m.node.shares.active() {
		return m.node.shares.rewritten(quotaTime())
	}
	value, err := shares.Row{Members: members}.Encode()
	if err != nil {
		event.AccountSharesWriteFailed.LogError(err)
	}
	return value, err == nil
}

// settled reports whether the linked nodes may be written as those with a share, if the set has been
// unchanged and the row been absent for the given times. The first nodes of a fleet that starts should
// not be taken for all of it, but no request of a limited account is served before the row is written,
// so that nodes that start one after the other must not delay it again and again.
func settled(rows, linked int, unchanged, absent time.Duration) bool {
	if absent >= membersSettleMost && linked > 1 && 2*linked >= rows {
		return true
	}
	if linked < rows {
		return unchanged >= membersSettleLong // links may still be opened
	}
	return unchanged >= max(membersSettle, membersSettleLong/time.Duration(linked))
}

// all returns the members.
func (m *accountMembers) all() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

// nodes returns the number of nodes with a row, and the sorted names of those to which this node
// has a link, itself included.
func (m *accountMembers) nodes() (rows int, linked []string) {
	up := append(m.node.peers.names(), m.node.settings.Node)
	for _, row := range m.node.cache.Rows(meshTable) {
		name, ok := strings.CutPrefix(row.Key, nodeKeyPrefix)
		if !ok {
			continue
		}
		rows++
		if slices.Contains(up, name) {
			linked = append(linked, name)
		}
	}
	slices.Sort(linked)
	return rows, linked
}

// rank returns how many of the nodes write the row before this one.
func (m *accountMembers) rank(linked []string) int {
	before, own := 0, rankHash(m.node.settings.Node)
	for _, name := range linked {
		if rankHash(name) < own {
			before++
		}
	}
	return before
}
