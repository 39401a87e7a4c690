package balance

import "time"

// healthReport is the last result of an upstream's health check. It may be outdated or
// wrong, so successful calls since then override it.
type healthReport struct {
	unhealthy bool
	at        time.Time
	successes int // consecutive successful calls since the report
	checkedAt time.Time
}

// set records a health check. A repeated unhealthy result keeps the success count;
// otherwise a health check that is always wrong would take effect again each time.
func (h *healthReport) set(now time.Time, healthy bool) {
	if healthy || !h.unhealthy || now.Sub(h.at) > healthReportTTL {
		h.successes = 0
	}
	h.unhealthy, h.at = !healthy, now
}

// penalised reports whether an unhealthy report is in effect: recent and not overridden
// by successful calls.
func (h *healthReport) penalised(now time.Time) bool {
	return h.unhealthy && now.Sub(h.at) <= healthReportTTL && h.successes < healthReportOverrideSuccesses
}

// checkDue reports whether a call should be sent to verify an unhealthy report. Without
// such calls, an upstream whose cost exceeds that of all others would never get the
// successes that override the report.
func (h *healthReport) checkDue(now time.Time) bool {
	return h.penalised(now) && now.Sub(h.checkedAt) >= healthReportCheckInterval
}

func (h *healthReport) observe(failed bool) {
	if failed {
		h.successes = 0
	} else {
		h.successes++
	}
}
