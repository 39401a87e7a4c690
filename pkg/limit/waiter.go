package limit

import (
	"container/list"
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

// waiterState is the admission state of a call.
type waiterState uint8

const (
	waiting waiterState = iota
	admitted
	refused
	finished
)

// Waiter is one call offered to a Queue. It is not safe for concurrent use.
type Waiter struct {
	// Deadline is the time by which the call must finish; zero means none.
	Deadline time.Time

	state   waiterState
	refusal reason.Refusal
	element *list.Element // element of the queue while waiting
	started time.Time
	decided chan struct{} // closed when a waiting call is admitted or refused; nil if unused
}

// Admitted reports whether the call holds a slot.
func (w *Waiter) Admitted() bool { return w.state == admitted }

// Refusal returns the reason for which the call was refused, or "".
func (w *Waiter) Refusal() reason.Refusal { return w.refusal }

func (w *Waiter) admit(now time.Time) {
	w.state, w.started = admitted, now
	w.notify()
}

func (w *Waiter) refuse(why reason.Refusal) {
	w.state, w.refusal = refused, why
	w.notify()
}

func (w *Waiter) notify() {
	if w.decided != nil {
		close(w.decided)
	}
}
