package link

import (
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/downlink"
)

// Downlink answers the announcements of large requests on all links of a node. It is safe for
// concurrent use; mu guards the state. A nil Downlink has no transfers.
type Downlink struct {
	metrics *Metrics

	mu        sync.Mutex
	schedule  *downlink.Schedule
	transfers map[transferKey]*downlink.Transfer
	keys      map[*downlink.Transfer]transferKey
	timer     *time.Timer
}

// transferKey identifies an announced request.
type transferKey struct {
	link     *Link
	sequence uint64
}

// NewDownlink returns a Downlink for a network link with the given bandwidth; 0 means unknown.
func NewDownlink(bytesPerSecond float64, metrics *Metrics) *Downlink {
	return &Downlink{
		metrics: metrics, schedule: downlink.NewSchedule(bytesPerSecond),
		transfers: make(map[transferKey]*downlink.Transfer), keys: make(map[*downlink.Transfer]transferKey),
	}
}

// limited reports whether requests may have to wait. If the bandwidth is unknown, announcements
// would only cost time.
func (d *Downlink) limited() bool { return d != nil && d.schedule.Limited() }

// announce adds a request of a peer. A second announcement under the same number replaces the first.
func (d *Downlink) announce(now time.Time, key transferKey, t *downlink.Transfer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(now, key, false)
	d.transfers[key], d.keys[t] = t, key
	d.apply(d.schedule.Announce(now, t))
}

// release removes a request that has arrived, or that is canceled or given up. Requests without an
// announcement have no effect.
func (d *Downlink) release(l *Link, sequence uint64, arrived bool) {
	if !d.limited() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(time.Now(), transferKey{l, sequence}, arrived)
}

// releaseAll removes the requests that were announced on a link.
func (d *Downlink) releaseAll(l *Link) {
	if !d.limited() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for key := range d.transfers {
		if key.link == l {
			d.remove(time.Now(), key, false)
		}
	}
}

// remove removes a request, if it is known. The caller holds mu.
func (d *Downlink) remove(now time.Time, key transferKey, arrived bool) {
	t, ok := d.transfers[key]
	if !ok {
		return
	}
	d.forget(t)
	d.apply(d.schedule.Release(now, t, arrived))
}

// forget drops the record of a transfer. The caller holds mu.
func (d *Downlink) forget(t *downlink.Transfer) {
	delete(d.transfers, d.keys[t])
	delete(d.keys, t)
}

func (d *Downlink) advance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.schedule.Advance(time.Now()))
}

// apply sends the decisions and schedules the next call of advance. The caller holds mu.
func (d *Downlink) apply(decisions []downlink.Decision) {
	for _, decision := range decisions {
		key := d.keys[decision.Transfer]
		if decision.Granted {
			d.metrics.transfersGranted.Inc()
		} else {
			d.metrics.transfersRefused.Inc()
			d.forget(decision.Transfer)
		}
		answer := transferGrantFrame{Sequence: key.sequence, Granted: decision.Granted, RetryAfter: decision.RetryAfter.Microseconds()}
		_ = key.link.Send(KindTransferGrant, answer) // the end of the link releases its transfers
	}
	for _, t := range d.schedule.TakeExpired() {
		d.forget(t)
	}
	d.metrics.transferBytes.Set(float64(d.schedule.Waiting()))
	next, ok := d.schedule.Next()
	switch {
	case !ok:
		if d.timer != nil {
			d.timer.Stop()
		}
	case d.timer == nil:
		d.timer = time.AfterFunc(time.Until(next), d.advance)
	default:
		d.timer.Reset(time.Until(next))
	}
}
