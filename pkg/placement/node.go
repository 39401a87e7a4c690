package placement

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/call"
)

// Executor runs requests at the server of a node.
type Executor interface {
	// Do returns the outcome of the request. When ctx ends, it cancels the request and
	// returns, but it may first complete a non-idempotent request that has started.
	Do(ctx context.Context, req *call.Request) call.Response
	// Responsive reports whether the node is known to receive requests. If not, it gets
	// requests only while no other node is left.
	Responsive() bool
}

// Locality is the location of the node that selects servers.
type Locality struct {
	Node          string
	FailureDomain string
	// LinkBytesPerSecond is the bandwidth of the instance's network link; 0 means
	// unknown.
	LinkBytesPerSecond float64
}

// Server describes a server as announced by its node.
type Server struct {
	Service       string
	Version       string
	Incarnation   string
	FailureDomain string
	Slots         int
	// LinkBytesPerSecond is the bandwidth of the network link of the server's instance;
	// 0 means unknown.
	LinkBytesPerSecond float64
	// Limited means that the server takes at most RequestLimit requests per second from
	// all nodes together.
	Limited      bool
	RequestLimit float64
	// ColdLimit means that the limit is that of a cold server.
	ColdLimit bool
	// WarmUntil is the end of the server's warm-up.
	WarmUntil time.Time
	// FailureRate is the recent share of requests that the server failed, 0 to 1.
	FailureRate float64
}

// node is a node with a server that accepts requests. The lock of the Selector guards
// it.
type node struct {
	name     string
	executor Executor
	server   Server

	load       call.Load
	reportedAt time.Time // of the failure rate: the last announcement or response
	// announcedAt is when server was announced, loadAt when the rest of load was reported; zero if it
	// was not.
	announcedAt, loadAt time.Time
	unreported          unreportedRequests
	inFlight            int // requests without an outcome
	times               serviceTimes
}

// transmission estimates, in seconds, what the links add to the time until a large
// response: for a server on another instance, the backlog of its link and the transfer
// over its link and this node's; for the node's own server, or if the bandwidth of the
// server's link is unknown, only the backlog.
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

// receipt estimates, in seconds, what the links add to the time until a server on another instance
// has a large request body: the transfer over this node's link and over the server's, after those
// of the requests that this node has sent there.
func (n *node) receipt(from Locality, body float64) float64 {
	if n.name == from.Node {
		return 0
	}
	took := 0.0
	if rate := n.server.LinkBytesPerSecond; rate > 0 {
		took += body * float64(1+n.inFlight) / rate
	}
	if from.LinkBytesPerSecond > 0 {
		took += body / from.LinkBytesPerSecond
	}
	return took
}

// failureRate returns the last reported failure rate, decayed with the age of the
// report.
func (n *node) failureRate(now time.Time) float64 {
	return n.load.FailureRate / (1 + now.Sub(n.reportedAt).Seconds()/failureDecayTime.Seconds())
}
