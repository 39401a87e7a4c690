package admission

import (
	"sort"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// Queue decides which requests run, wait or are refused. It answers load that
// exceeds the server's slots: a request that could not be served on time is
// refused when it arrives instead of when its deadline passes, and urgent
// requests overtake others. Time is an argument and nothing blocks. The owner
// guards it.
type Queue struct {
	slots   int
	order   uint64
	running map[*Job]struct{}
	waiting []*Job // by rank, then arrival
}

// NewQueue returns an empty line for a server with the given slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, running: make(map[*Job]struct{})}
}

// SetSlots changes the number of requests that run at once.
func (l *Queue) SetSlots(now time.Time, slots int) {
	l.slots = slots
	l.advance(now)
}

// Offer admits the job, lets it wait, or refuses it. A refusal comes with the
// time after which the line will have room.
func (l *Queue) Offer(now time.Time, j *Job) (reason.Refusal, time.Duration) {
	if len(l.running) < l.slots && len(l.waiting) == 0 {
		l.start(now, j)
		return "", 0
	}
	if len(l.waiting) >= maxQueue {
		return reason.QueueFull, l.RetryAfter(now)
	}
	if now.Add(l.wait(now, j.Rank)).After(j.Latest) {
		return reason.QueueDeadline, l.RetryAfter(now)
	}
	l.order++
	j.order = l.order
	at := sort.Search(len(l.waiting), func(i int) bool { return l.waiting[i].Rank > j.Rank })
	l.waiting = append(l.waiting, nil)
	copy(l.waiting[at+1:], l.waiting[at:])
	l.waiting[at] = j
	return "", 0
}

// Finish ends a running job and starts those that wait.
func (l *Queue) Finish(now time.Time, j *Job) {
	delete(l.running, j)
	l.advance(now)
}

// Cancel removes a waiting job. It reports false if the job no longer waits.
func (l *Queue) Cancel(j *Job) bool {
	for i, w := range l.waiting {
		if w == j {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// RefuseAll refuses every waiting job.
func (l *Queue) RefuseAll(why reason.Refusal) {
	for _, j := range l.waiting {
		j.decided <- why
	}
	l.waiting = nil
}

// Load returns the counts of running and waiting jobs and of slots.
func (l *Queue) Load() (running, waiting, slots int) {
	return len(l.running), len(l.waiting), l.slots
}

// RetryAfter estimates when the line will be empty.
func (l *Queue) RetryAfter(now time.Time) time.Duration {
	const lastRank = int(^uint(0) >> 1)
	return min(max(l.wait(now, lastRank), minRetryAfter), maxRetryAfter)
}

// wait estimates how long a new job of a rank waits: the work that is running
// or ahead of it, spread over the slots. A job that runs longer than expected
// is taken to need as long again as it has already run.
func (l *Queue) wait(now time.Time, rank int) time.Duration {
	var work time.Duration
	for j := range l.running {
		residual := time.Duration(residualShare * float64(j.Cost))
		if elapsed := now.Sub(j.started); elapsed > j.Cost {
			residual = max(residual, time.Duration(residualShare*float64(elapsed)))
		}
		work += residual
	}
	for _, j := range l.waiting {
		if j.Rank <= rank {
			work += j.Cost
		}
	}
	return work / time.Duration(max(l.slots, 1))
}

func (l *Queue) start(now time.Time, j *Job) {
	j.started = now
	l.running[j] = struct{}{}
	j.decided <- ""
}

func (l *Queue) advance(now time.Time) {
	for len(l.running) < l.slots && len(l.waiting) > 0 {
		j := l.waiting[0]
		l.waiting = l.waiting[1:]
		if now.After(j.Latest) {
			j.decided <- reason.QueueDeadline
			continue
		}
		l.start(now, j)
	}
}
