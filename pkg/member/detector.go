package member

import (
	"math/rand/v2"
	"time"
)

// Probe is a liveness check that the owner of a Detector must send.
type Probe struct {
	// Nonce identifies the probe; the response carries it.
	Nonce  uint64
	Target Member
	// Via are the members to be asked to probe Target; empty means a direct probe.
	Via []Member
}

type pendingProbe struct {
	target   Member
	sent     time.Time
	indirect bool
}

// Detector decides which members to probe and when to suspect them. It is owned by
// the goroutine that owns its table.
type Detector struct {
	table             *Table
	rnd               *rand.Rand
	queue             []string // successors not yet probed in this round
	pending           map[uint64]*pendingProbe
	nonce             uint64
	nextProbe         time.Time
	nextReprobe       time.Time
	lastTick          time.Time
	successors        []string
	successorsVersion uint64
	requested         []string // members that ProbeNow scheduled
}

// NewDetector returns a detector for the members of a table.
func NewDetector(t *Table, rnd *rand.Rand) *Detector {
	return &Detector{table: t, rnd: rnd, pending: map[uint64]*pendingProbe{}, nonce: rnd.Uint64() >> 16}
}

// ProbeNow schedules a probe of a member for the next tick, after a failed call to it.
// It does nothing if Rings probes are scheduled already.
func (d *Detector) ProbeNow(instance string) {
	if len(d.requested) < Rings {
		d.requested = append(d.requested, instance)
	}
}

// Ack records the response of an instance to a probe. It reports whether a probe of that
// instance with that nonce was pending.
func (d *Detector) Ack(nonce uint64, instance string) bool {
	p, ok := d.pending[nonce]
	if !ok || p.target.Instance != instance {
		return false
	}
	delete(d.pending, nonce)
	return true
}

// Tick returns the probes to send now and the records that changed. It is called every
// 100 ms.
func (d *Detector) Tick(now time.Time) (probes []Probe, changed []Member) {
	if gap := now.Sub(d.lastTick); !d.lastTick.IsZero() && gap > PauseThreshold {
		clear(d.pending)
		d.table.Postpone(gap)
	}
	d.lastTick = now
	probes, changed = d.advancePending(now)
	changed = append(changed, d.table.Expire(now)...)
	for _, name := range d.requested {
		if m, ok := d.table.Get(name); ok && m.State != Dead && name != d.table.self.Instance {
			probes = append(probes, d.newProbe(now, m))
		}
	}
	d.requested = nil
	if now.Before(d.nextProbe) {
		return probes, changed
	}
	d.nextProbe = now.Add(ProbeInterval)
	if m, ok := d.nextTarget(); ok {
		probes = append(probes, d.newProbe(now, m))
	}
	return append(probes, d.probeDead(now)...), changed
}

// advancePending requests indirect probes for the pending probes that need them and
// suspects the targets of those that timed out.
func (d *Detector) advancePending(now time.Time) (probes []Probe, changed []Member) {
	for _, nonce := range sortedKeys(d.pending) {
		p := d.pending[nonce]
		age := now.Sub(p.sent)
		switch {
		case age >= ProbeTimeout:
			delete(d.pending, nonce)
			if m, ok := d.table.Suspect(now, p.target.Instance, p.target.Incarnation); ok {
				changed = append(changed, m)
			}
		case age >= DirectProbeTimeout && !p.indirect:
			p.indirect = true
			if via := d.indirectProbers(p.target.Instance); len(via) > 0 {
				probes = append(probes, Probe{Nonce: nonce, Target: p.target, Via: via})
			}
		}
	}
	return probes, changed
}

func (d *Detector) newProbe(now time.Time, m Member) Probe {
	d.nonce++
	if m.State != Dead {
		d.pending[d.nonce] = &pendingProbe{target: m, sent: now}
	}
	return Probe{Nonce: d.nonce, Target: m}
}

// nextTarget returns the next successor; each round visits all successors in a new
// random order.
func (d *Detector) nextTarget() (Member, bool) {
	if d.successorsVersion != d.table.LiveVersion() {
		d.successors, d.successorsVersion = d.table.Successors(), d.table.LiveVersion()
	}
	for range 2 {
		for len(d.queue) > 0 {
			name := d.queue[0]
			d.queue = d.queue[1:]
			if m, ok := d.table.Get(name); ok && m.State != Dead {
				return m, true
			}
		}
		d.queue = append(d.queue[:0], d.successors...)
		d.rnd.Shuffle(len(d.queue), func(i, j int) { d.queue[i], d.queue[j] = d.queue[j], d.queue[i] })
	}
	return Member{}, false
}

// probeDead returns a probe of a dead member every ReprobeInterval on average, with a
// jitter of half of it.
func (d *Detector) probeDead(now time.Time) []Probe {
	if now.Before(d.nextReprobe) {
		return nil
	}
	first := d.nextReprobe.IsZero()
	d.nextReprobe = now.Add(time.Duration((0.5 + d.rnd.Float64()) * float64(ReprobeInterval)))
	m, ok := d.table.RandomDead()
	if first || !ok {
		return nil
	}
	return []Probe{d.newProbe(now, m)}
}

// indirectProbers returns at most IndirectProbes random partners to be asked to probe a
// member.
func (d *Detector) indirectProbers(target string) []Member {
	var out []Member
	partners := d.table.Partners()
	for _, i := range d.rnd.Perm(len(partners)) {
		m, ok := d.table.Get(partners[i])
		if ok && m.State == Alive && m.Instance != target {
			out = append(out, m)
			if len(out) == IndirectProbes {
				break
			}
		}
	}
	return out
}
