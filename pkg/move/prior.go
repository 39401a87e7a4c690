package move

import "time"

// prior is the prior distribution of the time at which a fault begins: initialPriorMass
// at the first update, and the rest spread evenly over the window. The masses never sum to
// more than 1, also if the window becomes shorter meanwhile: the bound on false alarms rests
// on that.
type prior struct {
	last  time.Time
	given float64 // sum of the masses so far
}

// mass returns the prior probability of the interval from the last update to now.
func (p *prior) mass(now time.Time, window time.Duration) float64 {
	last := p.last
	if last.IsZero() {
		p.last = now
		p.given = initialPriorMass
		return initialPriorMass
	}
	if window <= 0 || !now.After(last) {
		return 0
	}
	p.last = now
	mass := min((1-initialPriorMass)*float64(now.Sub(last))/float64(window), 1-p.given)
	p.given += mass
	return mass
}
