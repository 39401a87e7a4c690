package placement

import (
	"math"
	"time"
)

// estimate holds what the costs of all candidates for one request depend on.
type estimate struct {
	now  time.Time
	from Locality
	size float64 // expected size of the response in bytes
	// body is the size of the request body in bytes; 0 for one below largeBodyBytes.
	body  float64
	route string
	// assumedRouteTime and assumedMeanTime are the service times, in seconds, that are assumed
	// for servers without a report.
	assumedRouteTime, assumedMeanTime float64
	// bestRouteTime is the shortest service time of the route that a candidate has reported, in
	// seconds; 0 if there is none.
	bestRouteTime float64
	// meanUtilisation is the mean utilisation of the service's servers.
	meanUtilisation float64
}

func newEstimate(now time.Time, from Locality, candidates []*node, size, body float64, route string) estimate {
	e := estimate{now: now, from: from, size: size, body: body, route: route}
	e.assumedRouteTime, e.assumedMeanTime = assumeTimes(candidates, route)
	for _, n := range candidates {
		if known := n.times.byRoute[route].seconds; known > 0 && (e.bestRouteTime == 0 || known < e.bestRouteTime) {
			e.bestRouteTime = known
		}
		e.meanUtilisation += e.utilisation(n) / float64(len(candidates))
	}
	return e
}

// routeTime returns the service time of the request at the server in seconds. A report fades towards
// the best of the other servers: one that was slow gets no requests while others have room, so that
// no report would show that it has become faster.
func (e estimate) routeTime(n *node) float64 {
	if known := n.times.byRoute[e.route]; known.seconds > 0 {
		left := max(1-e.now.Sub(known.at).Seconds()/routeTimeFade.Seconds(), 0)
		return (e.bestRouteTime + left*(known.seconds-e.bestRouteTime)) * e.warmUp(n)
	}
	return e.assumedRouteTime * e.warmUp(n)
}

// meanTime returns the mean service time of the server's requests in seconds.
func (e estimate) meanTime(n *node) float64 {
	if n.times.mean > 0 {
		return n.times.mean * e.warmUp(n)
	}
	return e.assumedMeanTime * e.warmUp(n)
}

// warmUp returns the factor by which the server is slower than usual.
func (e estimate) warmUp(n *node) float64 {
	if e.now.Before(n.server.WarmUntil) {
		return warmUpFactor
	}
	return 1
}

// slots returns the number of requests that the server runs concurrently. At a server
// with a limit of requests, these are the ones that the limit keeps running.
func (e estimate) slots(n *node) float64 {
	slots := float64(max(n.server.Slots, 1))
	if n.server.Limited {
		slots = min(slots, max(n.server.RequestLimit*e.meanTime(n), minLimitedSlots))
	}
	return slots
}

// capacity returns the requests per second that the server can run. For large responses
// it is limited to those whose responses of the given size, in bytes, the server's link
// can transmit. For large request bodies it is limited to those that the link can receive from
// other nodes.
func (e estimate) capacity(n *node) float64 {
	capacity := e.slots(n) / e.routeTime(n)
	if rate := n.server.LinkBytesPerSecond; rate > 0 && e.size >= largeResponseBytes {
		capacity = min(capacity, rate/e.size)
	}
	if rate := n.server.LinkBytesPerSecond; rate > 0 && e.body > 0 && n.name != e.from.Node {
		capacity = min(capacity, rate/e.body)
	}
	return capacity
}

// utilisation returns the running and waiting requests per slot in the last report.
func (e estimate) utilisation(n *node) float64 {
	return float64(n.load.Running+n.load.Waiting) / e.slots(n)
}

// cost returns the cost by which a server is chosen among others.
func (e estimate) cost(n *node) float64 { return e.weightedCost(n, unreportedWeight) }

// weightedCost estimates the time until a response in seconds; only comparisons between
// servers are meaningful. The reported load decays towards the mean utilisation of the
// service's servers, since its requests end and others arrive. weight is the weight of a
// request sent since the last report.
func (e estimate) weightedCost(n *node, weight float64) float64 {
	service, slots := e.meanTime(n), e.slots(n)
	age := e.now.Sub(n.reportedAt).Seconds()
	mean := e.meanUtilisation * slots
	load := mean + (float64(n.load.Running+n.load.Waiting)-mean)*math.Exp(-age/service)
	load = max(load+weight*n.unreported.at(e.now), float64(n.inFlight))
	utilisation := load / slots
	own := e.routeTime(n)
	cost := own * (1 + utilisationPenalty*utilisation*utilisation)
	if load+1 > slots {
		cost += (load + 1 - slots) / slots * service
	}
	cost += failurePenalty * n.failureRate(e.now) * own
	return cost + e.network(n, age)
}

// network returns the part of the cost, in seconds, that the network adds, with a load report of the
// given age in seconds.
func (e estimate) network(n *node, age float64) float64 {
	cost := 0.0
	if e.size >= largeResponseBytes {
		cost += n.transmission(age, e.from, e.size)
	}
	if e.body > 0 {
		cost += n.receipt(e.from, e.body)
	}
	if n.server.FailureDomain != e.from.FailureDomain {
		cost += crossDomainDelay.Seconds() + (e.size+e.body)*crossDomainPerByte.Seconds()
	}
	return cost
}

// meanCost returns the mean cost of the nodes, weighted by their capacity, as sample draws
// them. A request since the last report counts once: the larger weight makes a node send
// its next request to another server, but it would make servers that get most of this
// node's requests look full.
func (e estimate) meanCost(nodes []*node) float64 {
	sum, weights := 0.0, 0.0
	for _, n := range nodes {
		weight := e.capacity(n)
		sum += weight * e.weightedCost(n, 1)
		weights += weight
	}
	return sum / weights
}
