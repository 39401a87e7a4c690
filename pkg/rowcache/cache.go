package rowcache

import (
	"sort"
	"sync"
)

// maxOffered is the number of offered rows of a table that are kept until they are taken. Peers
// rarely differ in the row that they have in force.
const maxOffered = 4

// Cache is a copy of some tables. It is safe for concurrent use; mu guards the
// state. The versions of rows and tables never decrease.
type Cache struct {
	mu       sync.Mutex
	tables   map[string]map[string]Row
	versions map[string]uint64 // version up to which a table's copy is complete
	accepted map[string]Row    // row of a table that was put in force last
	offered  map[string][]Row  // rows that peers have put in force, by table
	changes  map[string]uint64 // number of changes of a table's rows and of offered rows
	changed  chan struct{}
}

// New returns an empty cache of the given tables.
func New(tables ...string) *Cache {
	c := &Cache{
		tables: make(map[string]map[string]Row), versions: make(map[string]uint64),
		accepted: make(map[string]Row), offered: make(map[string][]Row), changes: make(map[string]uint64), changed: make(chan struct{}, 1),
	}
	for _, t := range tables {
		c.tables[t] = make(map[string]Row)
	}
	return c
}

// Changed returns a channel that receives a value after rows changed or were offered and
// after the first read of a table. Only one goroutine may receive from it; several changes
// may share one value.
func (c *Cache) Changed() <-chan struct{} { return c.changed }

// Apply merges the changes of a table up to the given version. Rows of the copy with a
// later version stay. A table that New was not given is ignored.
func (c *Cache) Apply(table string, rows []Row, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(table, rows, version)
}

// Replace merges a full read of a table as of the given version. Rows of the copy that
// are missing in it and are older than the version are marked as deleted.
func (c *Cache) Replace(table string, rows []Row, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	for key, r := range c.tables[table] {
		if !present[key] && !r.Deleted && r.Version < version {
			rows = append(rows, Row{Table: table, Key: key, Version: version, Deleted: true})
		}
	}
	c.apply(table, rows, version)
}

func (c *Cache) apply(table string, rows []Row, version uint64) {
	known, ok := c.tables[table]
	if !ok {
		return
	}
	notify := false
	for _, r := range rows {
		if r.Version > known[r.Key].Version {
			known[r.Key] = r
			c.changes[table]++
			notify = true
		}
	}
	before, loaded := c.versions[table]
	if !loaded || version > before {
		notify = notify || !loaded // the first read counts as a change even if the table is empty
		c.versions[table] = version
	}
	if notify {
		c.notify()
	}
}

func (c *Cache) notify() {
	select {
	case c.changed <- struct{}{}:
	default: // a notification is pending already
	}
}

// SetAccepted stores the row that this node has put in force, in addition to the newest row:
// the newest may be malformed, or older than this one after the store was restored from an
// older copy.
func (c *Cache) SetAccepted(r Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted[r.Table] = r
}

// Offer stores a row that a peer has put in force, for Offered.
func (c *Cache) Offer(r Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.accepted[r.Table]; ok && known.Version == r.Version {
		return
	}
	offered := append(c.offered[r.Table], r)
	c.offered[r.Table] = offered[max(0, len(offered)-maxOffered):]
	c.changes[r.Table]++
	c.notify()
}

// Offered returns and removes the rows of a table that were offered.
func (c *Cache) Offered(table string) []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := c.offered[table]
	delete(c.offered, table)
	return rows
}

// Accepted returns the row of a table that was put in force last.
func (c *Cache) Accepted(table string) (Row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.accepted[table]
	return r, ok
}

// Version returns the version up to which the copy of a table is complete; 0 if the
// table has not been read.
func (c *Cache) Version(table string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[table]
}

// State returns the version up to which the copy of a table is complete, and how often its rows and
// its accepted row have changed. The version may rise without a change.
func (c *Cache) State(table string) (version, changes uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[table], c.changes[table]
}

// Loaded reports whether the table has been read at least once.
func (c *Cache) Loaded(table string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.versions[table]
	return ok
}

// Versions returns the version up to which the copy of each table is complete.
func (c *Cache) Versions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.tables))
	for t := range c.tables {
		out[t] = c.versions[t]
	}
	return out
}

// Get returns a row and reports whether it exists and is not deleted.
func (c *Cache) Get(table, key string) (Row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.tables[table][key]
	return r, ok && !r.Deleted
}

// Rows returns the existing rows of a table in key order.
func (c *Cache) Rows(table string) []Row {
	rows, _ := c.Snapshot(table)
	return rows
}

// Snapshot returns the existing rows of a table in key order, and the version up to which they are
// complete.
func (c *Cache) Snapshot(table string) ([]Row, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Row
	for _, r := range c.tables[table] {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, c.versions[table]
}

// ChangesSince returns the rows of a table that changed after a version, deletions
// included, and the version up to which the result is complete.
func (c *Cache) ChangesSince(table string, version uint64) ([]Row, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Row
	for _, r := range c.tables[table] {
		if r.Version > version {
			out = append(out, r)
		}
	}
	return out, c.versions[table]
}
