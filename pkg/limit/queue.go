package limit

import (
	"container/list"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/reason"
)

// Queue decides on the admission of calls to one upstream: running calls, at most one
// per slot, and waiting calls in order of arrival. It takes the time as an argument,
// starts no goroutine and is not safe for concurrent use; Limiter adds locking and
// blocking.
type Queue struct {
	limits  config.Limits
	running int
	waiting list.List // of *Waiter
	service serviceTime
}

// NewQueue returns an empty queue. Limits that are not positive are replaced by the
// defaults.
func NewQueue(l config.Limits) *Queue {
	return &Queue{limits: withDefaults(l)}
}

// Offer admits, queues or refuses a call; see Waiter.Admitted and Waiter.Refusal. A
// zero deadline means that there is none.
//
// If a slot is free, a call is refused only when its deadline has passed, regardless of
// the estimated service time: it delays no other call, and its result corrects an
// estimate that has become too high.
func (q *Queue) Offer(now, deadline time.Time) *Waiter {
	w := &Waiter{Deadline: deadline}
	switch {
	case !deadline.IsZero() && !now.Before(deadline):
		w.refuse(reason.QueueDeadline)
	case q.running < q.limits.Slots:
		q.running++
		w.admit(now)
	case q.waiting.Len() >= q.limits.Queue:
		w.refuse(reason.QueueFull)
	case q.missesDeadline(now.Add(q.expectedWait(q.waiting.Len())), deadline):
		w.refuse(reason.QueueDeadline)
	default:
		w.element = q.waiting.PushBack(w)
	}
	return w
}

// Finish releases the slot of a call and admits the first waiting call that can still
// finish in time. It refuses waiting calls ahead of that one. It returns the calls that
// were admitted or refused. aborted means that the call ended early, so that its
// duration is only a lower bound of the service time.
func (q *Queue) Finish(now time.Time, w *Waiter, aborted bool) []*Waiter {
	if w.state != admitted {
		return nil
	}
	w.state = finished
	q.running--
	if aborted {
		q.service.observeAtLeast(now.Sub(w.started))
	} else {
		q.service.observe(now.Sub(w.started))
	}
	return q.advance(now)
}

// Cancel removes a waiting call and refuses it with the given reason. It reports
// whether the call was waiting.
func (q *Queue) Cancel(w *Waiter, why reason.Refusal) bool {
	if w.state != waiting {
		return false
	}
	q.remove(w)
	w.refuse(why)
	return true
}

// SetLimits changes the limits. Running and waiting calls are kept, so their numbers
// may exceed lowered limits until enough calls have ended. It returns the calls that
// were admitted or refused.
func (q *Queue) SetLimits(now time.Time, l config.Limits) []*Waiter {
	q.limits = withDefaults(l)
	return q.advance(now)
}

// LatestStart returns the latest time at which a waiting call can start and is expected
// to finish before its deadline, or the zero time if it has no deadline.
func (q *Queue) LatestStart(w *Waiter) time.Time {
	if w.Deadline.IsZero() {
		return time.Time{}
	}
	return w.Deadline.Add(-q.service.upperEstimate())
}

// Load returns the numbers of running calls, waiting calls and slots.
func (q *Queue) Load() (running, queued, slots int) {
	return q.running, q.waiting.Len(), q.limits.Slots
}

// advance assigns free slots to waiting calls in order of arrival.
func (q *Queue) advance(now time.Time) []*Waiter {
	var decided []*Waiter
	for q.running < q.limits.Slots && q.waiting.Len() > 0 {
		w := q.waiting.Front().Value.(*Waiter)
		q.remove(w)
		if q.missesDeadline(now, w.Deadline) {
			w.refuse(reason.QueueDeadline)
		} else {
			q.running++
			w.admit(now)
		}
		decided = append(decided, w)
	}
	return decided
}

// missesDeadline reports whether a call that begins at start is expected to miss its
// deadline.
func (q *Queue) missesDeadline(start, deadline time.Time) bool {
	return !deadline.IsZero() && start.Add(q.service.upperEstimate()).After(deadline)
}

// expectedWait estimates the wait of a call behind the given number of waiting calls:
// all slots are taken, and one becomes free every mean service time / slots.
func (q *Queue) expectedWait(before int) time.Duration {
	return q.service.mean * time.Duration(before+1) / time.Duration(q.limits.Slots)
}

func (q *Queue) remove(w *Waiter) {
	q.waiting.Remove(w.element)
	w.element = nil
}
