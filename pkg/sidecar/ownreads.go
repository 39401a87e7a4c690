package sidecar

import (
	"bytes"
	"strings"
	"time"

	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// heldRead is the newest answered read of the operator's table that does not count yet.
type heldRead struct {
	sentAt  time.Duration
	version uint64
}

// reading records a read before its rows are in the copy. full tells that it has all rows, and
// not the changes since r.after.
func (f *freshnessMonitor) reading(table string, r tableRead, full bool) {
	if f == nil || table != f.table {
		return
	}
	key := f.node.deploy.RowCodec.ConfigurationKey()
	before, _ := f.node.cache.Get(table, key)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !full {
		f.own.Changes(before.Version, r.after, r.version)
		return
	}
	if platform.EraOf(r.version) <= platform.EraOf(before.Version) || before.Version == 0 {
		return
	}
	for _, row := range r.rows {
		if row.Key == key && bytes.Equal(row.Value, before.Value) {
			f.own.Relisted(before.Version, row.Version)
		}
	}
}

// inForce records that the configuration in the row is in force.
func (f *freshnessMonitor) inForce(row rowcache.Row) {
	f.note(func() { f.own.InForce(row.Version); f.era = platform.EraOf(row.Version) })
}

// rejected records that the row is not put in force. older tells that it is valid and older than the
// configuration in force. After a restore of the store that is expected: the operator writes
// again what the store has lost.
func (f *freshnessMonitor) rejected(row rowcache.Row, older bool) {
	f.note(func() {
		if older && platform.EraOf(row.Version) > f.era {
			f.own.InForce(row.Version)
		}
		f.own.Rejected(row.Version)
	})
}

// told records that a peer has told which configuration it has in force; 0 if it has none.
func (f *freshnessMonitor) told(configuration uint64) {
	if configuration > 0 {
		f.note(func() { f.own.Announced() })
		f.count()
	}
}

// note calls record under the lock, unless f is nil.
func (f *freshnessMonitor) note(record func()) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	record()
}

// count makes the held read count if it may.
func (f *freshnessMonitor) count() {
	if f == nil || f.node.newestConfiguration.Load() > f.node.configurationVersion() {
		return
	}
	f.mu.Lock()
	read, current := f.held, f.copy()
	if read == nil || f.appliedChanges < current.Changes { // a row that is not applied yet may be rejected
		f.mu.Unlock()
		return
	}
	ok, again := f.own.Count(f.tracker.Now(), f.own.Starting() && f.otherNodes())
	if ok {
		f.held = nil
	} else if again > 0 && !f.waiting {
		f.waiting = true
		time.AfterFunc(again, f.count)
	}
	f.mu.Unlock()
	if ok {
		f.tracker.Read(read.sentAt, read.version, current)
		f.noteState()
	}
}

// otherNodes reports whether the copy of the mesh table has rows of other nodes.
func (f *freshnessMonitor) otherNodes() bool {
	for _, row := range f.node.cache.Rows(meshTable) {
		if name, ok := strings.CutPrefix(row.Key, nodeKeyPrefix); ok && name != f.node.settings.Node {
			return true
		}
	}
	return false
}
