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

// encodedTable is one cached frame: the changes after a version, encoded when the local
// copy was complete up to complete and the accepted row had the version accepted.
type encodedTable struct {
	after, complete, accepted uint64
	frame                     link.RowsFrame
}

func (e *encodedRows) since(cache *rowcache.Cache, request link.RowsRequest) (link.RowsFrame, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	accepted, _ := cache.Accepted(request.Table)
	known, ok := e.byTable[request.Table]
	if ok && known.after == request.After && known.complete == cache.Version(request.Table) && known.accepted == accepted.Version {
		return known.frame, nil
	}
	rows := rowsSince(cache, request)
	frame, err := link.EncodeRows(rows)
	if err == nil {
		e.byTable[request.Table] = encodedTable{request.After, rows.Version, accepted.Version, frame}
	}
	return frame, err
}

func rowsSince(cache *rowcache.Cache, request link.RowsRequest) link.Rows {
	rows, complete := cache.ChangesSince(request.Table, request.After)
	result := link.Rows{Table: request.Table, Rows: rows, Version: complete}
	if accepted, ok := cache.Accepted(request.Table); ok {
		if newest, ok := cache.Get(request.Table, accepted.Key); !ok || newest.Version != accepted.Version {
			result.Accepted = &accepted
		}
	}
	return result
}
