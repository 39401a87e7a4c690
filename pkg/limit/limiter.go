package limit

import (
	"context"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/reason"
)

// Limiter admits calls to one upstream. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	queue *Queue // guarded by mu
	// reported holds the values that this limiter has added to the gauges; guarded by
	// mu.
	reported struct{ running, queued int }
}

// New returns a Limiter with the given limits. Limits that are not positive are
// replaced by the defaults.
func New(l config.Limits) *Limiter {
	return &Limiter{queue: NewQueue(l)}
}

// Acquire waits for a slot. It returns a function that releases the slot and "", or nil
// and the reason of the refusal: QueueFull, QueueDeadline, or Canceled when ctx ends. A
// refused call holds no slot and must not run. release may be called more than once. If
// ctx has ended at the first release, the call counts as ended early, and its duration
// only as a lower bound of the service time. The zero deadline means that there is none.
func (l *Limiter) Acquire(ctx context.Context, deadline time.Time) (release func(), refused reason.Refusal) {
	if ctx.Err() != nil {
		return nil, countRefusal(reason.Canceled)
	}
	l.mu.Lock()
	w := l.queue.Offer(time.Now(), deadline)
	latest := l.queue.LatestStart(w)
	if w.state == waiting {
		w.decided = make(chan struct{})
	}
	l.updateGauges()
	l.mu.Unlock()

	if w.decided != nil {
		l.await(ctx, w, latest)
	}
	if why := w.Refusal(); why != "" {
		return nil, countRefusal(why)
	}
	var once sync.Once
	return func() { once.Do(func() { l.release(w, ctx.Err() != nil) }) }, ""
}

// await blocks until a waiting call is admitted or refused. It removes the call from
// the queue when ctx ends or when the call can no longer finish in time, so that the
// caller has time left to try another upstream.
func (l *Limiter) await(ctx context.Context, w *Waiter, latest time.Time) {
	var expired <-chan time.Time
	if !latest.IsZero() {
		timer := time.NewTimer(time.Until(latest))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.decided:
	case <-ctx.Done():
		l.cancel(w, reason.Canceled)
	case <-expired:
		l.cancel(w, reason.QueueDeadline)
	}
}

// cancel refuses a waiting call. A call admitted in the meantime stays admitted.
func (l *Limiter) cancel(w *Waiter, why reason.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Cancel(w, why)
	l.updateGauges()
}

func (l *Limiter) release(w *Waiter, aborted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Finish(time.Now(), w, aborted)
	l.updateGauges()
}

// SetLimits changes the limits on slots and waiting calls. Running calls are kept, and
// waiting calls stay in the queue until they get a slot or are refused as usual.
func (l *Limiter) SetLimits(limits config.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.SetLimits(time.Now(), limits)
	l.updateGauges()
}

// Load returns the numbers of running calls, waiting calls and slots.
func (l *Limiter) Load() (running, queued, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Load()
}

// updateGauges adds the changes since the last update to the gauges, so that they show
// the sum over all limiters of a process. The caller holds mu.
func (l *Limiter) updateGauges() {
	running, queued, _ := l.queue.Load()
	runningCalls.Add(float64(running - l.reported.running))
	queuedCalls.Add(float64(queued - l.reported.queued))
	l.reported.running, l.reported.queued = running, queued
}
