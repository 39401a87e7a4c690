package admission

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
)

// FreezeGap is the time for which a process must not have run to count as frozen.
const FreezeGap = time.Second

// maxUnsynced limits the requests that wait for an answer after a freeze. It is as large as the queue,
// which they enter next.
const maxUnsynced = maxQueue

// Freezes tells of freezes of this process. Its methods are called on each request.
type Freezes interface {
	// Epoch returns how many freezes were found so far, also one that has just ended.
	Epoch() uint64
	// Synced returns a channel that is closed once the node has heard of what was ordered during
	// the last freeze; nil if it has.
	Synced() <-chan struct{}
}

// FreezeDetector tells a frozen process from a delayed one. In both a step comes late. The threads of a
// process on a busy machine wait for a processor meanwhile, or run; those of a frozen process do
// neither. It takes times as arguments and is not safe for concurrent use.
type FreezeDetector struct {
	at       time.Duration
	runnable map[int]time.Duration
}

// Step takes the time since the boot, and for how long each thread of the process has run or waited
// for a processor so far. It reports whether the process was frozen since the last step: more than
// FreezeGap has passed for which no such time accounts. The times of all threads are added, since
// a late step may have been passed on from one to the next.
func (d *FreezeDetector) Step(now time.Duration, runnable map[int]time.Duration) bool {
	first, unexplained := d.runnable == nil, now-d.at
	for thread, total := range runnable {
		unexplained -= max(total-d.runnable[thread], 0)
	}
	d.at, d.runnable = now, runnable
	return !first && unexplained > FreezeGap
}

// Recovery decides when a node that was frozen has heard of what was ordered meanwhile: it has an
// answer to a question, or to a read of the store, that it sent since, and the rows that the answer
// tells of are applied. It is not safe for concurrent use. Its zero value is ready for use.
type Recovery struct {
	waiting   bool
	resumedAt time.Duration
	questions uint64 // number of the last question
	answered  uint64 // number of the last question before the end of the freeze
	confirmed bool
	version   uint64 // lowest version of the table that an answer has named
}

// Resumed records the end of a freeze.
func (r *Recovery) Resumed(now time.Duration) {
	*r = Recovery{waiting: true, resumedAt: now, questions: r.questions, answered: r.questions}
}

// Ask returns the number of a question that is about to be sent to peers.
func (r *Recovery) Ask() uint64 {
	r.questions++
	return r.questions
}

// Answer records a peer's answer to the question with the given number: its copy of the table is
// complete up to the version.
func (r *Recovery) Answer(number, version uint64) {
	if number > r.answered {
		r.confirm(version)
	}
}

// Read records that the store has answered a read that was sent at the given time.
func (r *Recovery) Read(sentAt time.Duration, version uint64) {
	if sentAt >= r.resumedAt {
		r.confirm(version)
	}
}

func (r *Recovery) confirm(version uint64) {
	if !r.confirmed || version < r.version {
		r.confirmed, r.version = true, version
	}
}

// Waiting returns for how long the node has been waiting; false if it is not.
func (r *Recovery) Waiting(now time.Duration) (time.Duration, bool) {
	return now - r.resumedAt, r.waiting
}

// Complete ends the wait if the copy of the table, with the given version and number of changes of which
// the first applied ones are in force, has what an answer told of. It reports whether it did.
func (r *Recovery) Complete(version, changes, applied uint64) bool {
	if !r.waiting || !r.confirmed || version < r.version || applied < changes {
		return false
	}
	r.waiting = false
	return true
}

// RefuseWaiting refuses all requests that wait, so that other servers get them.
func (c *Controller) RefuseWaiting(why reason.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.RefuseAll(why)
}

// freezes returns the number of freezes so far.
func (c *Controller) freezes() uint64 {
	if c.opts.Freezes == nil {
		return 0
	}
	return c.opts.Freezes.Epoch()
}

// awaitSynced blocks while the node has not heard of what was ordered during a freeze, as long as
// the request can still be run in time.
func (c *Controller) awaitSynced(ctx context.Context, req *call.Request) reason.Refusal {
	if c.opts.Freezes == nil {
		return ""
	}
	synced := c.opts.Freezes.Synced()
	if synced == nil {
		return ""
	}
	if c.unsynced.Add(1) > maxUnsynced {
		c.unsynced.Add(-1)
		return reason.Frozen
	}
	defer c.unsynced.Add(-1)
	now := time.Now()
	c.mu.Lock()
	latest := latestStart(now, req, c.times.expected(req.Route, req.SoftDeadline.Sub(now)))
	c.mu.Unlock()
	timer := time.NewTimer(latest.Sub(now))
	defer timer.Stop()
	select {
	case <-synced:
		return ""
	case <-timer.C:
		return reason.Frozen
	case <-ctx.Done():
		return reason.Canceled
	}
}
