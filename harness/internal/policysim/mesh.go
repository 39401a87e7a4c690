package policysim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"corianderwood.example/corianderwood/pkg/balance"
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/retry"
)

// One-way network delays, as the design states them for the first deployment.
const (
	sameDomainDelay  = 200 * time.Microsecond
	otherDomainDelay = 1500 * time.Microsecond
)

// Domains are the failure domains of the model.
var Domains = []string{"wgtn-a", "wgtn-b", "wgtn-c"}

// Slots is the number of concurrent calls of a server, unless a benchmark sets another.
const Slots = 9

// Service is a set of servers with the same service name.
type Service struct {
	Name    string
	Servers []*Server
	loop    *Loop
}

// NewService returns a service of count servers, assigned to Domains round-robin, with
// exponential service times. For limits, see NewServer.
func NewService(loop *Loop, name string, count, slots int, mean time.Duration, limits bool) *Service {
	s := &Service{Name: name, loop: loop}
	for i := range count {
		s.Add(balance.Endpoint{
			Instance: fmt.Sprintf("%s-%d", name, i), Incarnation: 1,
			FailureDomain: Domains[i%len(Domains)], Region: "wgtn",
			Service: name, Version: "v1", Slots: slots,
		}, func() time.Duration { return loop.Exponential(mean) }, limits)
	}
	return s
}

// Add adds one server; serviceTime draws the time that it works on a call.
func (s *Service) Add(e balance.Endpoint, serviceTime func() time.Duration, limits bool) *Server {
	server := NewServer(s.loop, e, limits)
	server.ServiceTime = serviceTime
	s.Servers = append(s.Servers, server)
	return server
}

// Arrived returns the number of attempts that the servers have received.
func (s *Service) Arrived() int {
	n := 0
	for _, server := range s.Servers {
		n += server.Arrived
	}
	return n
}

// Endpoints returns the endpoints of the servers for which keep returns true.
func (s *Service) Endpoints(keep func(*Server) bool) []balance.Endpoint {
	var list []balance.Endpoint
	for _, server := range s.Servers {
		if keep(server) {
			list = append(list, server.Endpoint)
		}
	}
	return list
}

// Client returns a client of the service in the given domain, with its own balancer.
func (s *Service) Client(domain string, r Retrier, attemptTimeout time.Duration) *Client {
	seed := rand.NewPCG(s.loop.Rand.Uint64(), s.loop.Rand.Uint64())
	c := &Client{
		Loop: s.loop, Service: s.Name, Retry: r, AttemptTimeout: attemptTimeout,
		Balancer: balance.New(balance.Locality{FailureDomain: domain, Region: "wgtn"}, rand.New(seed)),
		Servers:  make(map[string]*Server),
		Delay: func(server *Server) time.Duration {
			if server.Endpoint.FailureDomain == domain {
				return sameDomainDelay
			}
			return otherDomainDelay
		},
	}
	c.UpdateMembers(s, func(*Server) bool { return true })
	return c
}

// UpdateMembers sets the endpoints of the client's balancer to those of the servers for
// which keep returns true.
func (c *Client) UpdateMembers(s *Service, keep func(*Server) bool) {
	for _, server := range s.Servers {
		c.Servers[server.Endpoint.Instance] = server
	}
	c.Balancer.Update(c.Loop.Now(), s.Name, s.Endpoints(keep))
}

// NewBudgetPolicy returns the product's retry policy, with a retry budget and default
// settings.
func NewBudgetPolicy(loop *Loop, dependency string) *retry.Policy {
	rnd := rand.New(rand.NewPCG(loop.Rand.Uint64(), loop.Rand.Uint64()))
	return retry.NewPolicy(dependency, config.Retry{}, rnd)
}

// NewFixedCount returns a retry policy with a fixed count of 3 retries.
func NewFixedCount(loop *Loop) FixedCount {
	return FixedCount{Retries: 3, Rand: rand.New(rand.NewPCG(loop.Rand.Uint64(), loop.Rand.Uint64()))}
}
