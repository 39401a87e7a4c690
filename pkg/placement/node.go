package placement

import (
	"context"
	"math"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// Executor runs requests at the server beside a node.
type Executor interface {
	// Do returns when the request has an outcome or the context ends.
	Do(ctx context.Context, req *call.Request) call.Response
}

// Locality is where the node that chooses servers runs.
type Locality struct {
	Node          string
	FailureDomain string
	// LinkBytesPerSecond is the rate of the instance's network link; 0 is unknown.
	LinkBytesPerSecond float64
}

// Server is what a node says of the server beside it.
type Server struct {
	Service       string
	Version       string
	Incarnation   string
	FailureDomain string
	Slots         int
	// LinkBytesPerSecond is the rate of the network link of the server's instance; 0
	// is unknown.
	LinkBytesPerSecond float64
	// WarmUntil is when the server reaches its full speed.
	WarmUntil time.Time
	// FailureRate is the recent share of requests that the server failed, 0 to 1.
	FailureRate float64
}

// node is a node whose server takes requests. The board's lock guards it.
type node struct {
	name   string
	gate   Executor
	server Server

	load       call.Load
	reportedAt time.Time
	// unreported counts requests sent since the last report; inFlight counts
	// those without an outcome.
	unreported, inFlight int
}

// serviceTime is the time that the server takes for a request.
func (n *node) serviceTime(now time.Time) float64 {
	service := n.load.ServiceTime
	if service <= 0 {
		service = initialServiceTime
	}
	if now.Before(n.server.WarmUntil) {
		service = time.Duration(warmUpFactor * float64(service))
	}
	return service.Seconds()
}

// slots is how many requests the server runs at once.
func (n *node) slots() float64 { return float64(max(n.server.Slots, 1)) }

// capacity is how many requests a second the server can run and its link can carry
// the responses of, which are of the given size in bytes.
func (n *node) capacity(now time.Time, size float64) float64 {
	capacity := n.slots() / n.serviceTime(now)
	if rate := n.server.LinkBytesPerSecond; rate > 0 && size >= largeResponse {
		capacity = min(capacity, rate/size)
	}
	return capacity
}

// utilisation is the last reported number of requests per slot.
func (n *node) utilisation() float64 {
	return float64(n.load.Running+n.load.Waiting) / n.slots()
}

// cost estimates the time until a response, in seconds, for comparison only.
// usual is the mean utilisation of the service's servers: what was reported of a
// server fades towards it, since its requests end and others arrive.
func (n *node) cost(now time.Time, from Locality, size, usual float64) float64 {
	serve, slots := n.serviceTime(now), n.slots()
	age := now.Sub(n.reportedAt).Seconds()
	usual *= slots
	busy := usual + (float64(n.load.Running+n.load.Waiting)-usual)*math.Exp(-age/serve)
	busy = max(busy+unreportedWeight*float64(n.unreported), float64(n.inFlight))
	full := busy / slots
	cost := serve * (1 + utilisationPenalty*full*full)
	if busy+1 > slots {
		cost += (busy + 1 - slots) / slots * serve
	}
	cost += failurePenalty * n.failing(now) * serve
	if size >= largeResponse {
		cost += n.transmission(age, from, size)
	}
	if n.server.FailureDomain != from.FailureDomain {
		cost += crossDomainDelay.Seconds() + size*crossDomainPerByte.Seconds()
	}
	return cost
}

// transmission estimates the time, in seconds, until a large response has passed the
// links of the server's instance and, from another one, of this node.
func (n *node) transmission(age float64, from Locality, size float64) float64 {
	backlog := max(n.load.UplinkBacklog.Seconds()-age, 0)
	rate := n.server.LinkBytesPerSecond
	if n.name == from.Node || rate <= 0 {
		return backlog
	}
	took := backlog + size*float64(1+n.inFlight)/rate
	if from.LinkBytesPerSecond > 0 {
		took += size / from.LinkBytesPerSecond
	}
	return took
}

// failing is the last reported share of requests that the server failed.
func (n *node) failing(now time.Time) float64 {
	return n.load.FailureRate / (1 + now.Sub(n.reportedAt).Seconds()/failureMemory.Seconds())
}
