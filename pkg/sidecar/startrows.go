package sidecar

import (
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"

	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// startRows holds back the rows of a starting process until they are known to be as new as those of
// the nodes that it can reach. Records may be made on nil. It is safe for concurrent use; mu guards the fields.
type startRows struct {
	node *Node

	mu       sync.Mutex
	decision *rowcache.Start
	open     bool
}

func newStartRows(n *Node) *startRows {
	return &startRows{node: n, decision: rowcache.NewStart(n.settings.Node, n.deploy.RowCodec.Table(), meshTable)}
}

// update records something and makes applyRows decide again, unless the rows are in force already.
func (s *startRows) update(record func(*rowcache.Start)) {
	if s == nil {
		return
	}
	s.mu.Lock()
	open := s.open
	if !open {
		record(s.decision)
	}
	s.mu.Unlock()
	if !open {
		s.node.recheckRows()
	}
}

// read records that this process has read a table from the store.
func (s *startRows) read(table string) { s.update(func(d *rowcache.Start) { d.Read(table) }) }

// announced records what a peer has told.
func (s *startRows) announced(peer string, v link.Versions) {
	s.update(func(d *rowcache.Start) {
		if d.Announced(time.Now(), peer, v.Tables, v.Configuration) {
			time.AfterFunc(rowcache.StartWait, s.node.recheckRows)
		}
	})
}

// received records that a peer has sent the rows of a table.
func (s *startRows) received(peer, table string) {
	if table == s.node.deploy.RowCodec.Table() {
		s.update(func(d *rowcache.Start) { d.Received(peer) })
	}
}

// dialFailed records that no connection to a peer could be opened. One that is refused shows that no
// process of the peer runs there; after any other failure it may still be reached. It may be called
// on nil.
func (p *peers) dialFailed(peer string, err error) {
	if p != nil && errors.Is(err, syscall.ECONNREFUSED) {
		p.node.startRows.update(func(d *rowcache.Start) { d.Unreachable(peer) })
	}
}

// mayApply reports whether the rows may be put in force.
func (s *startRows) mayApply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open {
		return true
	}
	copies := rowcache.Copies{Versions: s.node.cache.Versions()}
	for _, row := range s.node.cache.Rows(meshTable) {
		if name, ok := strings.CutPrefix(row.Key, nodeKeyPrefix); ok {
			copies.Nodes = append(copies.Nodes, name)
		}
	}
	now := time.Now()
	if s.open = s.decision.Done(now, copies); s.open {
		event.StartRowsComplete.Log("nodes", len(copies.Nodes), "copy", copies.Versions[s.node.deploy.RowCodec.Table()], "after", time.Since(s.node.startedAt))
	}
	return s.decision.Open(now, copies)
}
