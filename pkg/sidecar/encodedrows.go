package sidecar

import (
	"sync"

	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// encodedRows caches the last encoded row frame of each table, because the nodes of a
// failure domain request the same rows. It is safe for concurrent use; mu guards the
// map.
type encodedRows struct {
	mu      sync.Mutex
	byTable map[string]encodedTable
}

type encodedTable struct {
	after, complete, accepted uint64
	frame                     link.RowsFrame
}

func (p *encodedRows) since(cache *rowcache.Cache, w link.RowsRequest) (link.RowsFrame, error) {
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
		p.byTable[w.Table] = encodedTable{w.After, rows.Version, accepted.Version, frame}
	}
	return frame, err
}

func rowsSince(cache *rowcache.Cache, w link.RowsRequest) link.Rows {
	rows, complete := cache.ChangesSince(w.Table, w.After)
	result := link.Rows{Table: w.Table, Rows: rows, Version: complete}
	if accepted, ok := cache.Accepted(w.Table); ok {
		if newest, ok := cache.Get(w.Table, accepted.Key); !ok || newest.Version != accepted.Version {
			result.Accepted = &accepted
		}
	}
	return result
}
