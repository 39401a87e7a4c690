package admission

import (
	"sort"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Queue decides which requests run, wait or are refused. A request that cannot be
// answered on time is refused as soon as it arrives, not only when its deadline passes.
// Requests run in order of rank. It takes the time as an argument, never
// blocks and is not safe for concurrent use.
type Queue struct {
	slots        int
	lastSequence uint64
	running      map[*Job]struct{}
	waiting      []*Job // ordered by rank, then by arrival
}

// NewQueue returns an empty queue for a server with the given number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, running: make(map[*Job]struct{})}
}

// SetSlots sets the number of requests that run concurrently.
func (q *Queue) SetSlots(now time.Time, slots int) {
	q.slots = slots
	q.advance(now)
}

// Offer starts, queues or refuses the job. With a refusal it returns the time after
// which the request may be retried.
func (q *Queue) Offer(now time.Time, j *Job) (reason.Refusal, time.Duration) {
	if len(q.running) < q.slots && len(q.waiting) == 0 {
		q.start(now, j)
		return "", 0
	}
	if len(q.waiting) >= maxQueue {
		return reason.QueueFull, q.RetryAfter(now)
	}
	if now.Add(q.wait(now, j.Rank)).After(j.LatestStart) {
		return reason.QueueDeadline, q.RetryAfter(now)
	}
	q.lastSequence++
	j.sequence = q.lastSequence
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].Rank > j.Rank })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = j
	return "", 0
}

// Finish removes a running job and starts waiting jobs.
func (q *Queue) Finish(now time.Time, j *Job) {
	delete(q.running, j)
	q.advance(now)
}

// Cancel removes a waiting job. It returns false if the job is no longer waiting.
func (q *Queue) Cancel(j *Job) bool {
	for i, w := range q.waiting {
		if w == j {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// RefuseAll refuses every waiting job.
func (q *Queue) RefuseAll(why reason.Refusal) {
	for _, j := range q.waiting {
		j.decision <- why
	}
	q.waiting = nil
}

// Load returns the numbers of running jobs, waiting jobs and slots.
func (q *Queue) Load() (running, waiting, slots int) {
	return len(q.running), len(q.waiting), q.slots
}

// RetryAfter estimates the time until the queue is empty, within fixed bounds.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	const lastRank = int(^uint(0) >> 1)
	return min(max(q.wait(now, lastRank), minRetryAfter), maxRetryAfter)
}

// wait estimates how long a new job of the given rank waits: the remaining work of the
// running jobs and of the waiting jobs ahead of it, divided by the slots. The estimate
// for a job that exceeds its expected cost grows with its elapsed time.
func (q *Queue) wait(now time.Time, rank int) time.Duration {
	var work time.Duration
	for j := range q.running {
		residual := time.Duration(residualShare * float64(j.Cost))
		if elapsed := now.Sub(j.started); elapsed > j.Cost {
			residual = max(residual, time.Duration(residualShare*float64(elapsed)))
		}
		work += residual
	}
	for _, j := range q.waiting {
		if j.Rank <= rank {
			work += j.Cost
		}
	}
	return work / time.Duration(max(q.slots, 1))
}

func (q *Queue) start(now time.Time, j *Job) {
	j.started = now
	q.running[j] = struct{}{}
	j.decision <- ""
}

func (q *Queue) advance(now time.Time) {
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		j := q.waiting[0]
		q.waiting = q.waiting[1:]
		if now.After(j.LatestStart) {
			j.decision <- reason.QueueDeadline
			continue
		}
		q.start(now, j)
	}
}
