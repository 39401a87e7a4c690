package routing

import "time"

// Route maps the requests for a host whose path starts with Prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Backends are the services that share the requests; a route without traffic split
	// has one.
	Backends []Backend
	// Timeout is the maximum time until the response to a request.
	Timeout time.Duration
	// TargetLatency is the time within which a response counts as on time.
	TargetLatency time.Duration
	// Attempts is the maximum number of servers that one request reaches. Refusals by
	// the nodes beside the servers do not count.
	Attempts int
	// Priority orders routes; 0 is the most urgent.
	Priority int
	// Public means that requests need no key of an account.
	Public bool
}

// Backend is a service of a route with its share of the requests.
type Backend struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight int
}
