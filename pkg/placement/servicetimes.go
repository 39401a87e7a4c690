package placement

import "time"

// serviceTimes holds the service times that a server has reported, in seconds. They are kept by
// route: a server's recent requests may have been of other routes than those of another, and
// the difference between routes is larger than that between servers.
type serviceTimes struct {
	byRoute map[string]routeTime
	mean    float64 // of the requests of all routes, as this node sends them; 0 before the first report
	// reportedAt is the time of the report that observe records.
	reportedAt time.Time
}

// routeTime is the service time of a route in seconds, and when it was reported.
type routeTime struct {
	seconds float64
	at      time.Time
}

func (t *serviceTimes) observe(route string, reported float64) {
	if reported <= 0 {
		return
	}
	if t.byRoute == nil {
		t.byRoute = make(map[string]routeTime)
	}
	t.byRoute[route] = routeTime{reported, t.reportedAt} // a moving average of the server
	if t.mean == 0 {
		t.mean = reported
	}
	t.mean += meanTimeWeight * (reported - t.mean)
}

// assumeTimes returns the service times of a route and of all routes that are assumed for
// servers that have not reported one: those of the others. Fixed ones would keep requests away
// from all of them once a faster server has reported, or send all requests to them.
func assumeTimes(candidates []*node, route string) (ofRoute, mean float64) {
	routes, means := 0, 0
	for _, n := range candidates {
		if known := n.times.byRoute[route].seconds; known > 0 {
			ofRoute += known
			routes++
		}
		if n.times.mean > 0 {
			mean += n.times.mean
			means++
		}
	}
	if means == 0 {
		return initialServiceTime.Seconds(), initialServiceTime.Seconds()
	}
	mean /= float64(means)
	if routes == 0 {
		return mean, mean
	}
	return ofRoute / float64(routes), mean
}
