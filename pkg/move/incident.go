package move

import (
	"math"
	"time"
)

const (
	// incidentDecay is the time constant of the exponentially decayed recent counts of
	// the old version.
	incidentDecay = 10 * time.Second
	// minIncidentBad is the least decayed count of bad responses that makes an
	// incident.
	minIncidentBad = 2
)

// incident detects a rise of bad responses of the old version over all routes, which
// the new version cannot have caused. It is owned by the decider's goroutine.
type incident struct {
	last          time.Time
	calls, failed float64
	slow          float64
	total         Counts
}

// observe adds the old version's counts since the last update and reports whether the old
// version currently has an incident.
func (i *incident) observe(now time.Time, fresh Counts) bool {
	if !i.last.IsZero() {
		keep := math.Exp(-float64(now.Sub(i.last)) / float64(incidentDecay))
		i.calls, i.failed, i.slow = i.calls*keep, i.failed*keep, i.slow*keep
	}
	i.last = now
	i.calls += float64(fresh.Calls)
	i.failed += float64(fresh.Failed)
	i.slow += float64(fresh.Slow)
	i.total = i.total.add(fresh)
	return i.elevated(i.failed, i.total.Failed) || i.elevated(i.slow, i.total.Slow)
}

// elevated reports whether the recent rate exceeds the rate over the whole move by more
// than the test against the baseline tolerates.
func (i *incident) elevated(recent float64, total uint64) bool {
	usual := float64(total) / max(float64(i.total.Calls), 1)
	return recent >= minIncidentBad && recent/i.calls > baselineFactor*usual+baselineMargin
}
