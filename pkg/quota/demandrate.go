package quota

import "math"

// demandRate estimates the requests per second of an account at a node.
type demandRate struct {
	requests  float64 // decayed count
	updatedAt Time
}

func (d *demandRate) observe(now Time) {
	d.requests = d.decayed(now) + 1
	d.updatedAt = now
}

func (d *demandRate) decayed(now Time) float64 {
	age := now.Sub(d.updatedAt)
	if age <= 0 {
		return d.requests
	}
	return d.requests * math.Exp(-float64(age)/float64(demandTime))
}

// perSecond returns the estimate.
func (d *demandRate) perSecond(now Time) float64 { return d.decayed(now) / demandTime.Seconds() }
