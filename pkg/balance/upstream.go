package balance

import (
	"math"
	"time"
)

// upstream is the state of one endpoint. The group's lock guards it.
type upstream struct {
	endpoint  Endpoint
	slots     float64
	tier      tier
	rampStart time.Time

	outstanding int           // calls of this node in flight
	latency     time.Duration // moving average; 0 before the first result
	observedAt  time.Time     // time of the last change of latency

	reportedLoad       float64 // running and queued calls in the last report
	reportedAt         time.Time
	startedSinceReport int // calls of this node since the last report
	// contradictions counts reports of high load that arrived with fast responses since
	// the last slow one.
	contradictions int

	health        health
	healthReport  healthReport
	excludedUntil time.Time // end of the exclusion after a refusal because of leaving
}

func newUpstream(e Endpoint, t tier, since time.Time) *upstream {
	u := &upstream{rampStart: since}
	u.setEndpoint(e, t)
	return u
}

// setEndpoint sets the fields that may change within an incarnation.
func (u *upstream) setEndpoint(e Endpoint, t tier) {
	u.endpoint, u.tier = e, t
	u.slots = float64(e.Slots)
	if e.Slots <= 0 {
		u.slots = defaultSlots
	}
}

// ramp returns the share of its full weight that a cold upstream gets. It grows with
// the cube of the time. In a simulation of 240 nodes at 70% load, with calls that
// initially take 6 times as long (virtual time, 6 seeds), up to 17 calls ran or waited
// in the 9 slots with a linear ramp and up to 11 with this one.
func (u *upstream) ramp(now time.Time) float64 {
	age := now.Sub(u.rampStart)
	if age >= rampTime {
		return 1
	}
	part := max(float64(age)/float64(rampTime), 0)
	return max(rampFloor, part*part*part)
}

// load estimates the running and queued calls per slot, of which only the given share
// of the slots counts. With the age of the last report the estimate decays to the mean
// load of the service, because the reported calls end and other nodes start new ones.
// Calls started by this node since the report are added.
func (u *upstream) load(now time.Time, means serviceMeans, share float64) float64 {
	slots := u.slots * share
	own := float64(u.outstanding) / slots
	if !u.trusted() {
		return max(own, means.load)
	}
	reported := min(u.reportedLoad, maxReportedLoad*u.slots) + float64(u.startedSinceReport)
	fresh := decay(now.Sub(u.reportedAt), means.latency)
	return max(own, means.load+fresh*(reported/slots-means.load))
}

// trusted reports whether there is a load report that is not contradicted by observed
// latencies.
func (u *upstream) trusted() bool {
	return !u.reportedAt.IsZero() && u.contradictions < maxContradictions
}

// expectedLatency returns the observed latency, which decays to the mean of the service
// with its age.
func (u *upstream) expectedLatency(now time.Time, means serviceMeans) time.Duration {
	if u.latency == 0 {
		return means.latency
	}
	fresh := decay(now.Sub(u.observedAt), latencyHalfLife)
	return means.latency + time.Duration(fresh*float64(u.latency-means.latency))
}

// cost returns the expected latency of one more call in nanoseconds, increased by the
// load, by recent failures and by an unhealthy health report. The cube of the load
// makes the last slots much more expensive than the first ones, so that calls spread
// before a queue forms. Only the given share of a cold upstream's slots counts, because
// its calls take longer and its reports arrive later than those of a warm one.
func (u *upstream) cost(now time.Time, means serviceMeans, share float64) float64 {
	load := u.load(now, means, share) + 1/u.slots
	cost := float64(u.expectedLatency(now, means)) * (1 + load*load*load)
	cost /= 1 - min(u.health.penalty(now), maxFailurePenalty)
	if u.healthReport.penalised(now) {
		cost *= unhealthyPenalty
	}
	return cost
}

// probeDue reports whether a call should be sent to the upstream to check whether its
// ejection or its unhealthy report is still justified.
func (u *upstream) probeDue(now time.Time) bool {
	if u.health.ejected {
		return u.health.probeDue(now)
	}
	return u.healthReport.checkDue(now)
}

func (u *upstream) startProbe(now time.Time) {
	if u.health.ejected {
		u.health.startProbe(now)
	} else {
		u.healthReport.checkedAt = now
	}
}

func (u *upstream) start() {
	u.outstanding++
	u.startedSinceReport++
}

// observe adds a result. The latency of a failure counts only if it exceeds the
// average: a fast failure must not attract calls. The weight of a result increases with
// the age of the previous one.
func (u *upstream) observe(now time.Time, r Result, means serviceMeans) {
	u.observeLoad(now, r)
	if r.Latency <= 0 || ((r.Failed || r.NotRun) && r.Latency < u.latency) {
		return
	}
	if u.latency == 0 {
		u.latency, u.observedAt = r.Latency, now
		return
	}
	fresh := decay(now.Sub(u.observedAt), latencyHalfLife)
	gain := latencyGain*fresh + staleLatencyGain*(1-fresh)
	average := u.expectedLatency(now, means)
	u.latency = average + time.Duration(gain*float64(r.Latency-average))
	u.observedAt = now
}

// observeLoad records a load report. A refusal for lack of capacity or because of
// leaving without a report counts as a reported load of two calls per slot.
func (u *upstream) observeLoad(now time.Time, r Result) {
	switch {
	case r.Load != nil:
		u.reportedLoad = float64(max(r.Load.Running, 0) + max(r.Load.Queued, 0))
		if r.Load.Slots > 0 {
			u.slots = float64(r.Load.Slots)
		}
	case r.NotRun && !r.Failed:
		u.reportedLoad = 2 * u.slots
	default:
		return
	}
	u.reportedAt, u.startedSinceReport = now, 0
}

// decay returns the factor by which a value decays within age, 0 to 1.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
