package sidecar

import (
	"sync"

	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// packedRows keeps the last encoded rows of each table, since the nodes of a failure
// domain ask for the same ones. It is safe for concurrent use; mu guards the map.
type packedRows struct {
	mu      sync.Mutex
	byTable map[string]packedTable
}

type packedTable struct {
	after, complete, accepted uint64
	frame                     link.RowsFrame
}

func (p *packedRows) since(cache *rowcache.Cache, w link.RowsRequest) (link.RowsFrame, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	accepted, _ := cache.Accepted(w.Table)
	known, ok := p.byTable[w.Table]
	if ok && known.after == w.After && known.complete == cache.Version(w.Table) && known.accepted == accepted.Version {
		return known.frame, nil
	}
	rows := rowsSince(cache, w)
	frame, err := link.EncodeRows(rows)
	if err == nil {
		p.byTable[w.Table] = packedTable{w.After, rows.Version, accepted.Version, frame}
	}
	return frame, err
}

func rowsSince(cache *rowcache.Cache, w link.RowsRequest) link.Rows {
	rows, complete := cache.ChangesSince(w.Table, w.After)
	answer := link.Rows{Table: w.Table, Rows: rows, Version: complete}
	if accepted, ok := cache.Accepted(w.Table); ok {
		if newest, ok := cache.Get(w.Table, accepted.Key); !ok || newest.Version != accepted.Version {
			answer.Accepted = &accepted
		}
	}
	return answer
}
