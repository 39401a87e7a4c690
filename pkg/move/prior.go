package move

import "time"

// prior is the prior distribution of the time at which a fault begins: initialPriorMass
// at the first update, and the rest spread evenly over the window.
type prior struct {
	last time.Time
}

// mass returns the prior probability of the interval from the last update to now.
func (p *prior) mass(now time.Time, window time.Duration) float64 {
	last := p.last
	if last.IsZero() {
		p.last = now
		return initialPriorMass
	}
	if window <= 0 || !now.After(last) {
		return 0
	}
	p.last = now
	return (1 - initialPriorMass) * min(float64(now.Sub(last))/float64(window), 1)
}
