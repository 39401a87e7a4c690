package upstream

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrDraining means that an announcement was rejected because its upstream is draining.
var ErrDraining = errors.New("the upstream is draining: stop sending heartbeats and exit when the drain ends")

// ErrAlreadyAnnounced means that an announcement was rejected because another upstream
// is announced. To withdraw it, as the text says, is to drain it by a DELETE request.
var ErrAlreadyAnnounced = errors.New("another upstream is announced on this instance: withdraw it first or let it expire")

// Registry holds the upstream announced on the instance. It is safe for concurrent use;
// mu guards its state.
type Registry struct {
	metrics *Metrics

	mu      sync.Mutex
	status  Status
	present bool
	expires time.Time
	changed chan struct{} // closed at the next change
}

// NewRegistry returns a registry without an upstream. m may be nil.
func NewRegistry(m *Metrics) *Registry {
	if m == nil {
		m = NewMetrics(nil)
	}
	return &Registry{metrics: m, changed: make(chan struct{})}
}

// Announce adds or renews an announcement. A draining process cannot renew its
// announcement, but another process can replace it at once. Errors are validation
// errors, ErrDraining or ErrAlreadyAnnounced.
func (r *Registry) Announce(now time.Time, a Announcement) error {
	if err := a.check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	switch {
	case r.present && r.status.sameProcess(a) && r.status.Draining:
		// Keep the draining state while the process sends heartbeats; otherwise it
		// would be announced anew once the state expired.
		r.expires = now.Add(TTL)
		return ErrDraining
	case r.present && !r.status.sameProcess(a) && !r.status.Draining:
		return ErrAlreadyAnnounced
	case r.present && r.status.sameProcess(a):
		if r.status.Announcement != a {
			r.status.Announcement = a
			r.notify()
		}
	default:
		r.status, r.present = Status{Announcement: a, Since: now}, true
		r.metrics.announced.Inc()
		r.notify()
	}
	r.expires = now.Add(TTL)
	return nil
}

// Drain marks the upstream as draining and returns its address. The second result is
// false if none is announced. The draining state lasts until a TTL after the drain
// request and the last heartbeat, so that no heartbeat can undo it.
func (r *Registry) Drain(now time.Time) (address string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if !r.present {
		return "", false
	}
	if !r.status.Draining {
		r.status.Draining = true
		r.metrics.drained.Inc()
		r.notify()
	}
	r.expires = now.Add(TTL)
	return r.status.Address, true
}

// Status returns the announced upstream, if there is one.
func (r *Registry) Status(now time.Time) (Status, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return r.status, r.present
}

// Watch returns a channel that receives the current status and the status after each
// change, except changes of the polled load; a slow receiver gets only the latest. The
// zero Status means that no upstream is announced. The channel is closed when ctx ends.
func (r *Registry) Watch(ctx context.Context) <-chan Status {
	out := make(chan Status, 1)
	go func() {
		defer close(out)
		tick := time.NewTicker(TTL / 10) // detects expiry
		defer tick.Stop()
		for {
			status, changed := r.current(time.Now())
			select {
			case <-out:
			default:
			}
			out <- status
			for waiting := true; waiting; {
				select {
				case <-ctx.Done():
					return
				case <-changed:
					waiting = false
				case now := <-tick.C:
					_, _ = r.Status(now)
				}
			}
		}
	}()
	return out
}

func (r *Registry) current(now time.Time) (Status, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return r.status, r.changed
}

// setHints stores poll results if the polled upstream is still the announced one.
func (r *Registry) setHints(polled Announcement, h Hints) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.present || !r.status.sameProcess(polled) {
		return
	}
	turned := r.status.Hints.Unhealthy != h.Unhealthy
	r.status.Hints = h
	if turned {
		r.notify()
	}
}

// expire removes an announcement that was not renewed in time. The caller holds mu.
func (r *Registry) expire(now time.Time) {
	if !r.present || now.Before(r.expires) {
		return
	}
	if !r.status.Draining {
		r.metrics.expired.Inc()
	}
	r.status, r.present = Status{}, false
	r.notify()
}

// notify wakes the watchers. The caller holds mu.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
