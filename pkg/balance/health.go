package balance

import "time"

// health holds the results that decide on the ejection of one upstream, and the state
// of its ejection.
type health struct {
	rate        float64 // moving average of failures, 0 to 1
	samples     int
	consecutive int // consecutive failures

	ejected      bool
	ejectedUntil time.Time // start of probing
	ejections    int       // consecutive ejections, for the exponential backoff
	lastFailure  time.Time
	probing      bool // a probe is in flight
	probedAt     time.Time
	probesOK     int
}

// observe adds the result of a call to an upstream that is not ejected.
func (h *health) observe(now time.Time, failed bool) {
	h.resetBackoff(now)
	h.samples++
	sample := 0.0
	if failed {
		sample = 1
		h.consecutive++
		h.lastFailure = now
	} else {
		h.consecutive = 0
	}
	h.rate += failureGain * (sample - h.rate)
}

// outlier reports whether the results justify an ejection.
func (h *health) outlier() bool {
	return h.consecutive >= ejectConsecutive ||
		(h.samples >= ejectSamples && h.rate >= ejectRate)
}

// eject starts an ejection. Its duration doubles with each ejection until
// ejectionResetTime has passed without a failure.
func (h *health) eject(now time.Time) {
	h.ejected = true
	h.ejectedUntil = now.Add(min(ejectBase<<min(h.ejections, 10), ejectMax))
	h.ejections++
	h.probing, h.probesOK = false, 0
}

// probeDue reports whether a probe may be sent. A probe without a result blocks other
// probes for probeTimeout only, because a caller may abandon a call after Pick.
func (h *health) probeDue(now time.Time) bool {
	if !h.ejected || now.Before(h.ejectedUntil) {
		return false
	}
	if h.probing {
		return now.Sub(h.probedAt) >= probeTimeout
	}
	return now.Sub(h.probedAt) >= probeInterval
}

func (h *health) startProbe(now time.Time) {
	h.probing, h.probedAt = true, now
}

// endProbe records the result of a call to an ejected upstream and reports whether the
// ejection ends. Results that arrive before the ejection has expired are ignored: they
// belong to calls that started before the ejection or were sent as a last resort.
func (h *health) endProbe(now time.Time, failed bool) (ended bool) {
	if now.Before(h.ejectedUntil) {
		return false
	}
	h.probing = false
	if failed {
		h.lastFailure = now
		h.eject(now)
		return false
	}
	h.probesOK++
	return h.probesOK >= probesToReturn
}

// penalty returns the failure rate, which decays with the time since the last failure,
// so that an upstream without calls is retried.
func (h *health) penalty(now time.Time) float64 {
	return h.rate * decay(now.Sub(h.lastFailure), failureHalfLife)
}

// restore ends the ejection and resets the failure rate.
func (h *health) restore() {
	*h = health{ejections: h.ejections, lastFailure: h.lastFailure}
}

// resetBackoff resets the ejection backoff after ejectionResetTime without a failure.
func (h *health) resetBackoff(now time.Time) {
	if h.ejections > 0 && now.Sub(h.lastFailure) > ejectionResetTime {
		h.ejections = 0
	}
}
