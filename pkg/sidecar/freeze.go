package sidecar

import (
	"bytes"
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/admission"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/link"
	"corianderwood.example/corianderwood/pkg/reason"
)

const (
	// freezeCheckInterval is how often the node checks whether it was frozen. One check reads a file
	// of the kernel for each thread, some 0.1 ms in all.
	freezeCheckInterval = admission.FreezeGap / 2
	// newsInterval is how often a node that was frozen asks peers, newsPeers how many at a time, and
	// newsFromStore the time after which it reads the table from the store although it does not
	// follow the feeds.
	newsInterval  = 200 * time.Millisecond
	newsPeers     = 3
	newsFromStore = 500 * time.Millisecond
	// threadsDirectory has the times of the threads of this process.
	threadsDirectory = "/proc/self/task/"
)

var _ admission.Freezes = (*freezeMonitor)(nil)
var _ link.TableHandler = (*handler)(nil)

// freezeMonitor finds freezes of this process, and keeps requests from the local server until the
// node has heard of what was ordered meanwhile. It exists only if Bounds.Evacuate is set. It is safe
// for concurrent use; mu guards the fields below it.
type freezeMonitor struct {
	node  *Node
	epoch atomic.Uint64
	// checkedAt is the time since the boot of the last check.
	checkedAt atomic.Int64
	synced    atomic.Pointer[chan struct{}] // nil unless the node waits for an answer
	wake      chan struct{}                 // holds a value if run has to ask peers

	mu       sync.Mutex
	detector admission.FreezeDetector
	recovery admission.Recovery
	applied  uint64 // changes of the copy that are in force
}

// newFreezeMonitor returns nil if freezes do not matter or can't be found.
func newFreezeMonitor(n *Node) *freezeMonitor {
	if n.settings.Bounds.Evacuate <= 0 {
		return nil
	}
	if _, err := runnableTimes(); err != nil {
		event.FreezesNotFound.LogError(err)
		return nil
	}
	return &freezeMonitor{node: n, wake: make(chan struct{}, 1)}
}

// Epoch implements admission.Freezes. If the last check is so long ago that the process may have been
// frozen since, it checks at once. Before run has begun, there is nothing to compare with.
func (f *freezeMonitor) Epoch() uint64 {
	if f.overdue() {
		_ = f.check(f.overdue) // the kernel had the times at the start
	}
	return f.epoch.Load()
}

// overdue reports whether the process may have been frozen since the last check.
func (f *freezeMonitor) overdue() bool {
	last := time.Duration(f.checkedAt.Load())
	return last != 0 && f.node.sinceBoot()-last > admission.FreezeGap
}

// Synced implements admission.Freezes.
func (f *freezeMonitor) Synced() <-chan struct{} {
	f.Epoch()
	if c := f.synced.Load(); c != nil {
		return *c
	}
	return nil
}

// check looks for a freeze that has ended, unless another goroutine has made it superfluous.
func (f *freezeMonitor) check(due func() bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !due() {
		return nil
	}
	runnable, err := runnableTimes()
	if err != nil {
		return err
	}
	now := f.node.sinceBoot()
	frozen := f.detector.Step(now, runnable)
	if frozen {
		f.recovery.Resumed(now)
		if f.synced.Load() == nil {
			c := make(chan struct{})
			f.synced.Store(&c)
		}
		f.epoch.Add(1)
		f.node.metrics.freezes.Inc()
		event.FreezeFound.Log("lastCheck", now-time.Duration(f.checkedAt.Load()))
	}
	f.checkedAt.Store(int64(now)) // after epoch: Epoch reads it first
	if frozen {
		f.node.admission.RefuseWaiting(reason.Frozen)
		select {
		case f.wake <- struct{}{}:
		default: // run asks already
		}
	}
	return nil
}

// runnableTimes returns for how long each thread of this process has run or waited for a processor.
func runnableTimes() (map[int]time.Duration, error) {
	threads, err := os.ReadDir(threadsDirectory)
	if err != nil {
		return nil, err
	}
	out := make(map[int]time.Duration, len(threads))
	for _, t := range threads {
		text, err := os.ReadFile(threadsDirectory + t.Name() + "/schedstat")
		if os.IsNotExist(err) && len(out) > 0 {
			continue // the thread has ended
		}
		if err != nil {
			return nil, err
		}
		id, err := strconv.Atoi(t.Name())
		if err != nil {
			return nil, err
		}
		fields := bytes.Fields(text) // nanoseconds running, nanoseconds waiting, number of runs
		for _, field := range fields[:min(2, len(fields))] {
			ns, err := strconv.ParseInt(string(field), 10, 64)
			if err != nil {
				return nil, err
			}
			out[id] += time.Duration(ns)
		}
	}
	return out, nil
}

// run checks for freezes until ctx ends, and asks peers for their versions after one.
func (f *freezeMonitor) run(ctx context.Context) {
	if f == nil {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-timer.C:
			_ = f.check(func() bool { return true }) // the kernel had the times at the start
		}
		interval := freezeCheckInterval
		if _, waiting := f.waiting(); waiting {
			f.ask()
			interval = newsInterval
		}
		timer.Reset(interval)
	}
}

// waiting returns for how long the node has been waiting for an answer; false if it is not.
func (f *freezeMonitor) waiting() (time.Duration, bool) {
	if f == nil || f.synced.Load() == nil {
		return 0, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recovery.Waiting(f.node.sinceBoot())
}

// readsStore reports whether the node reads the table from the store although it does not follow
// the feeds.
func (f *freezeMonitor) readsStore(table string) bool {
	waited, waiting := f.waiting()
	return waiting && waited >= newsFromStore && table == f.node.deploy.RowCodec.Table()
}

// ask sends a question to some peers.
func (f *freezeMonitor) ask() {
	links := f.node.peers.openLinks()
	rand.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
	f.mu.Lock()
	number := f.recovery.Ask()
	f.mu.Unlock()
	for _, l := range links[:min(newsPeers, len(links))] {
		_ = l.Send(link.KindTableRequest, link.TableRequest{Number: number}) // without an answer, others are asked
	}
}

// update records an answer and ends the wait if it is complete.
func (f *freezeMonitor) update(record func()) {
	if f == nil {
		return
	}
	version, changes := f.node.cache.State(f.node.deploy.RowCodec.Table())
	f.mu.Lock()
	defer f.mu.Unlock()
	record()
	if f.recovery.Complete(version, changes, f.applied) {
		close(*f.synced.Swap(nil))
		event.FreezeOver.Log("copy", version)
	}
}

// rowsApplied records that the first changes changes of the copy are in force.
func (f *freezeMonitor) rowsApplied(changes uint64) {
	f.update(func() { f.applied = max(f.applied, changes) })
}

// read records an answered read of a table whose rows are in the copy.
func (f *freezeMonitor) read(table string, r tableRead) {
	if f != nil && table == f.node.deploy.RowCodec.Table() {
		f.update(func() { f.recovery.Read(r.sentAt, r.version) })
	}
}

// TableRequest answers a peer, unless this node waits for an answer itself.
func (h *handler) TableRequest(l *link.Link, r link.TableRequest) {
	n := (*Node)(h)
	if n.freezes != nil && n.freezes.Synced() != nil {
		return
	}
	_ = l.Send(link.KindTableVersion, link.TableVersion{Number: r.Number, Version: n.cache.Version(n.deploy.RowCodec.Table())}) // the peer asks again
}

// TableVersion takes a peer's answer, and requests the rows that are missing.
func (h *handler) TableVersion(l *link.Link, v link.TableVersion) {
	n := (*Node)(h)
	table := n.deploy.RowCodec.Table()
	if known := n.cache.Version(table); v.Version > known {
		_ = l.Send(link.KindRowsRequest, link.RowsRequest{Table: table, After: known}) // the next answer requests them again
	}
	n.freezes.update(func() { n.freezes.recovery.Answer(v.Number, v.Version) })
}
