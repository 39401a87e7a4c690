package balance

import "time"

// serviceMeans holds the means over the upstreams of a service, which are assumed for
// upstreams without recent results.
type serviceMeans struct {
	latency time.Duration
	load    float64 // running and queued calls per slot
}

// serviceMeans returns the mean observed latency and the mean reported load of the
// service.
func (g *group) serviceMeans(now time.Time) serviceMeans {
	var latency time.Duration
	var load, slots float64
	observed := 0
	for _, u := range g.upstreams {
		if u.latency > 0 {
			latency += u.latency
			observed++
		}
		if u.trusted() {
			fresh := decay(now.Sub(u.reportedAt), loadHalfLife)
			load += fresh * min(u.reportedLoad, maxReportedLoad*u.slots)
			slots += fresh * u.slots
		}
	}
	result := serviceMeans{latency: defaultLatency}
	if observed > 0 {
		result.latency = latency / time.Duration(observed)
	}
	if slots > 0 {
		result.load = load / slots
	}
	return result
}
