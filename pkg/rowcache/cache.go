package rowcache

import (
	"sort"
	"sync"
)

// Cache is a copy of some tables. It is safe for concurrent use; mu guards the
// state. Rows and versions only move forward.
type Cache struct {
	mu       sync.Mutex
	tables   map[string]map[string]Row
	complete map[string]uint64 // version up to which a table's copy is complete
	accepted map[string]Row    // newest row of a table that was put in force
	changed  chan struct{}
}

// New returns an empty cache of the given tables.
func New(tables ...string) *Cache {
	c := &Cache{
		tables: make(map[string]map[string]Row), complete: make(map[string]uint64),
		accepted: make(map[string]Row), changed: make(chan struct{}, 1),
	}
	for _, t := range tables {
		c.tables[t] = make(map[string]Row)
	}
	return c
}

// Changed receives a value after rows changed. One goroutine may receive.
func (c *Cache) Changed() <-chan struct{} { return c.changed }

// Apply takes the changes of a table up to version complete.
func (c *Cache) Apply(table string, rows []Row, complete uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(table, rows, complete)
}

// Replace takes all rows of a table as of version complete. Known rows that are
// missing and not newer are marked as deleted.
func (c *Cache) Replace(table string, rows []Row, complete uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	for key, r := range c.tables[table] {
		if !present[key] && !r.Deleted && r.Version < complete {
			rows = append(rows, Row{Table: table, Key: key, Version: complete, Deleted: true})
		}
	}
	c.apply(table, rows, complete)
}

func (c *Cache) apply(table string, rows []Row, complete uint64) {
	known, ok := c.tables[table]
	if !ok {
		return
	}
	notify := false
	for _, r := range rows {
		if r.Version > known[r.Key].Version {
			known[r.Key] = r
			notify = true
		}
	}
	before, read := c.complete[table]
	if !read || complete > before {
		notify = notify || !read // an empty table is news too
		c.complete[table] = complete
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

// SetAccepted keeps a row that was put in force, here or at a peer, besides the newest
// one: the newest may be malformed, and then the accepted one stays in force.
func (c *Cache) SetAccepted(r Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.accepted[r.Table]; ok && known.Version >= r.Version {
		return
	}
	c.accepted[r.Table] = r
	c.notify()
}

// Accepted returns the newest row of a table that was put in force.
func (c *Cache) Accepted(table string) (Row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.accepted[table]
	return r, ok
}

// Version returns up to which version the copy of a table is complete; 0 if
// nothing is known.
func (c *Cache) Version(table string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete[table]
}

// Loaded reports whether the table has been read at least once.
func (c *Cache) Loaded(table string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.complete[table]
	return ok
}

// Versions returns the version of every table.
func (c *Cache) Versions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.tables))
	for t := range c.tables {
		out[t] = c.complete[t]
	}
	return out
}

// Get returns a row that exists.
func (c *Cache) Get(table, key string) (Row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.tables[table][key]
	return r, ok && !r.Deleted
}

// Rows returns the existing rows of a table in key order.
func (c *Cache) Rows(table string) []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Row
	for _, r := range c.tables[table] {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
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
	return out, c.complete[table]
}
