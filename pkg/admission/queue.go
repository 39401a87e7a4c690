package admission

import (
	"slices"
	"sort"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Queue decides which requests run, wait or are refused. A request that cannot be
// answered on time is refused as soon as it arrives, not only when its deadline passes.
// Requests run in order of rank, and within a rank in the order of their accounts' recent use. It takes the time as an argument, never
// blocks and is not safe for concurrent use.
type Queue struct {
	slots        int
	limit        RateLimit
	cold         ColdLimit
	lastSequence uint64
	running      map[*Job]struct{}
	waiting      []*Job // ordered by rank, then by turn, then by arrival
	uses         accountUse
}

// NewQueue returns an empty queue for a server with the given number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, running: make(map[*Job]struct{})}
}

// SetSlots sets the number of requests that run concurrently.
func (q *Queue) SetSlots(now time.Time, slots int) {
	q.slots = slots
	q.Advance(now)
}

// Offer starts, queues or refuses the job. With a refusal it returns the time after
// which the request may be retried.
func (q *Queue) Offer(now time.Time, j *Job) (reason.Refusal, time.Duration) {
	p := q.decide(now, j)
	switch {
	case p.Refusal != "":
		return p.Refusal, p.RetryAfter
	case p.Starts:
		q.start(now, j)
		return "", 0
	}
	q.lastSequence++
	j.sequence = q.lastSequence
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[p.Ahead+1:], q.waiting[p.Ahead:])
	q.waiting[p.Ahead] = j
	return "", 0
}

// Placement is what a queue decides on a job that arrives.
type Placement struct {
	// Refusal is the reason of a refusal, after which the job may come again after RetryAfter; empty
	// otherwise.
	Refusal    reason.Refusal
	RetryAfter time.Duration
	// Starts means that the job runs at once.
	Starts bool
	// Ahead is the number of jobs that wait ahead of one that waits or is refused, Wait the time for
	// which it would wait.
	Ahead int
	Wait  time.Duration
}

// decide decides on a job that arrives. It counts one that starts against the server's limits, and
// changes nothing else.
func (q *Queue) decide(now time.Time, j *Job) Placement {
	if len(q.running) < q.slots && len(q.waiting) == 0 && q.take(now) {
		return Placement{Starts: true}
	}
	if len(q.waiting) >= maxQueue {
		return Placement{Refusal: reason.QueueFull, RetryAfter: q.RetryAfter(now), Ahead: len(q.waiting)}
	}
	at := q.place(now, j)
	left := j.LatestStart.Sub(now)
	limitWait, coldWait, slotWait := q.limit.Wait(now, at+1), q.cold.Wait(now, at+1), q.slotWait(now, at)
	p := Placement{Ahead: at, Wait: max(limitWait, coldWait, slotWait)}
	switch {
	case coldWait > 0 && coldWait > left:
		p.Refusal = reason.ServerCold
	case limitWait > 0 && limitWait > left:
		p.Refusal = reason.ServerLimit
	case slotWait > left:
		p.Refusal = reason.QueueDeadline
	}
	if p.Refusal != "" {
		p.RetryAfter = q.RetryAfter(now)
	}
	return p
}

// Preview returns what Offer would decide on the job now, and changes nothing.
func (q *Queue) Preview(now time.Time, j *Job) Placement { return q.copyLimits().decide(now, j) }

// copyLimits returns a copy with limits of its own, on which decide may be called. The jobs are
// shared.
func (q *Queue) copyLimits() *Queue {
	c := *q
	c.cold.starts = slices.Clone(q.cold.starts)
	return &c
}

// SetLimit limits the rate at which jobs start, in jobs per second.
func (q *Queue) SetLimit(now time.Time, rate float64) { q.limit.Set(now, rate) }

// ClearLimit ends the limit if a response to a job that was sent at the given time names
// none, and starts waiting jobs.
func (q *Queue) ClearLimit(now, sent time.Time) {
	q.limit.Clear(sent)
	q.Advance(now)
}

// SetColdRate sets the rate that a cold server takes.
func (q *Queue) SetColdRate(now time.Time, rate ColdRate) {
	q.cold.SetRate(now, rate)
	q.refuseLate(now)
	q.Advance(now)
}

// SetCold limits the jobs to the rate of a cold server until the given time or, with
// unknownEnd, until the next call. Waiting jobs that can't start in time any more are refused, so
// that other servers get them.
func (q *Queue) SetCold(now, until time.Time, unknownEnd bool) {
	q.cold.SetCold(now, until, unknownEnd)
	q.refuseLate(now)
	q.Advance(now)
}

// LimitsCold reports whether cold servers have a limit.
func (q *Queue) LimitsCold() bool { return q.cold.rate.PerSecond > 0 }

// refuseLate refuses the waiting jobs that a cold server can't start in time.
func (q *Queue) refuseLate(now time.Time) {
	if !q.cold.Active(now) {
		return
	}
	kept := q.waiting[:0]
	for _, j := range q.waiting {
		if q.cold.Wait(now, len(kept)+1) > j.LatestStart.Sub(now) {
			j.decision <- reason.ServerCold
			continue
		}
		kept = append(kept, j)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// NextStart returns the time until the limits allow the first waiting job to start. It
// returns false if no job waits for the limits only.
func (q *Queue) NextStart(now time.Time) (time.Duration, bool) {
	if len(q.waiting) == 0 || len(q.running) >= q.slots {
		return 0, false
	}
	return max(q.limit.Wait(now, 1), q.cold.Wait(now, 1)), true
}

// Finish removes a running job and starts waiting jobs.
func (q *Queue) Finish(now time.Time, j *Job) {
	delete(q.running, j)
	q.Advance(now)
}

// Unsent takes a running job back from the count of a cold server's requests: the server did not
// get it, or got it for another one.
func (q *Queue) Unsent(now time.Time, j *Job) { q.cold.Return(now, j.started) }

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
	wait := max(q.slotWait(now, len(q.waiting)), q.limitWait(now, len(q.waiting)))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// limitWait returns how long the limits delay a new job with the given number of waiting jobs ahead
// of it.
func (q *Queue) limitWait(now time.Time, ahead int) time.Duration {
	return max(q.limit.Wait(now, ahead+1), q.cold.Wait(now, ahead+1))
}

// take reports whether the server's limits allow a job to start now, and counts it if so.
func (q *Queue) take(now time.Time) bool {
	if q.cold.Wait(now, 1) > 0 || !q.limit.Take(now) {
		return false
	}
	q.cold.Take(now)
	return true
}

// behindRank returns the number of waiting jobs up to the given rank.
func (q *Queue) behindRank(rank int) int {
	return sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].Rank > rank })
}

// slotWait estimates how long a new job with the given number of waiting jobs ahead of it waits
// for a slot: the remaining work of the running jobs and of those ahead, divided by the slots. The
// estimate for a job that exceeds its expected cost grows with its elapsed time.
func (q *Queue) slotWait(now time.Time, ahead int) time.Duration {
	var work time.Duration
	for j := range q.running {
		residual := time.Duration(residualShare * float64(j.Cost))
		if elapsed := now.Sub(j.started); elapsed > j.Cost {
			residual = max(residual, time.Duration(residualShare*float64(elapsed)))
		}
		work += residual
	}
	for _, j := range q.waiting[:ahead] {
		work += j.Cost
	}
	return work / time.Duration(max(q.slots, 1))
}

func (q *Queue) start(now time.Time, j *Job) {
	j.started = now
	q.uses.add(now, j.Account, j.Cost)
	q.running[j] = struct{}{}
	j.running = len(q.running)
	j.decision <- ""
}

// Advance starts the waiting jobs that may run, in order of rank.
func (q *Queue) Advance(now time.Time) {
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		j := q.waiting[0]
		expired := now.After(j.LatestStart)
		if !expired && !q.take(now) {
			return
		}
		q.waiting = q.waiting[1:]
		if expired {
			j.decision <- reason.QueueDeadline
			continue
		}
		q.start(now, j)
	}
}
