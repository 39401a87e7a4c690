package proxy

import (
	"context"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/reason"
)

// Resolver finds the route of a request in the configuration in force. It is called
// once per request, concurrently.
type Resolver interface {
	// Ready reports whether a configuration is in force.
	Ready() bool
	// Resolve returns the route and its service, and false if no route matches.
	Resolve(host, path, method string) (config.Route, config.Service, bool)
}

// VersionChooser chooses the version of a service for a call. It is called once per
// call, concurrently.
type VersionChooser interface {
	Version(now time.Time, s config.Service, route string) string
}

// Observer receives the result of each attempt that depends on the version of the
// upstream. Refusals that the upstream did not cause are not reported. It is called
// concurrently.
type Observer interface {
	// Observed reports an attempt; slow means that it took longer than the service's SlowMS.
	Observed(now time.Time, service, route, version string, failed, slow bool)
}

// Balancer chooses upstreams; balance.Balancer implements it. Each Start is followed
// by exactly one Observe.
type Balancer interface {
	// Pick returns an upstream whose instance is not in exclude, which may be nil, and false
	// if there is none.
	Pick(now time.Time, service, version string, exclude map[string]bool) (Endpoint, bool)
	Start(now time.Time, e Endpoint)
	Observe(now time.Time, e Endpoint, r Result)
}

// RetryPolicy decides whether a call to one service is retried; retry.Policy implements
// it.
type RetryPolicy interface {
	// FirstAttempt records the first attempt of a call, on which the retry budget depends.
	FirstAttempt()
	// Decide decides on a retry after the given number of attempts. minResponse is the
	// shortest time in which a response to it can be expected.
	Decide(now, deadline time.Time, attempt int, v Classification, minResponse time.Duration) Decision
}

// Policies returns the retry policy of a service.
type Policies interface {
	Policy(s config.Service) RetryPolicy
}

// Limiter bounds the calls that run at the upstream at once; limit.Limiter implements
// it.
type Limiter interface {
	// Acquire waits for a slot. If the call is admitted, refused is "" and release must
	// be called once.
	Acquire(ctx context.Context, deadline time.Time) (release func(), refused reason.Refusal)
	Load() (running, queued, slots int)
}

// LocalUpstream is the upstream on the node's own instance.
type LocalUpstream struct {
	Address  string
	Service  string
	Version  string
	Draining bool
}

// UpstreamSource returns the upstream that is announced on this instance, and false if
// there is none. The peer server calls it for each call, concurrently.
type UpstreamSource interface {
	Upstream() (LocalUpstream, bool)
}
