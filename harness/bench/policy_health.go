package bench

import (
	"net/http"
	"time"

	"corianderwood.example/corianderwood/harness/internal/policysim"
	"corianderwood.example/corianderwood/pkg/balance"
)

// The model of the benchmark with misleading health and load reports. Of six upstreams,
// one fails its calls immediately but reports that it is healthy and idle, one works but
// reports that it is unhealthy, one works but reports a full queue, and one is slow but
// reports that it is healthy and idle.
const (
	healthServiceTime = 20 * time.Millisecond
	healthLoad        = 0.5
	healthFaultFrom   = 5 * time.Second
	healthEnd         = 35 * time.Second
	healthPoll        = time.Second
	healthFailingTime = time.Millisecond
	healthSlowFactor  = 10
)

// policyHealth measures how misleading health and load reports affect the distribution of
// calls, and the share of calls that fail.
func policyHealth(seed uint64) []policyTask {
	return []policyTask{{run: func() []Row { return runHealth(seed) }}}
}

func runHealth(seed uint64) []Row {
	loop := policysim.NewLoop(seed)
	service := policysim.NewService(loop, "orders", overloadUpstreams, policysim.Slots, healthServiceTime, true)
	failing, unhealthy, full, slow := service.Servers[0], service.Servers[1], service.Servers[2], service.Servers[3]
	idle := func() balance.Load { return balance.Load{Slots: policysim.Slots} }
	loop.After(healthFaultFrom, func() {
		failing.Status = func() int { return http.StatusInternalServerError }
		failing.ServiceTime = func() time.Duration { return healthFailingTime }
		failing.LoadReport = idle
		full.LoadReport = func() balance.Load {
			return balance.Load{Running: policysim.Slots, Queued: 2 * policysim.Slots, Slots: policysim.Slots}
		}
		slow.ServiceTime = func() time.Duration { return loop.Exponential(healthSlowFactor * healthServiceTime) }
		slow.LoadReport = idle
	})
	calls, failed, mostEjected := 0, 0, 0
	rate := healthLoad * overloadUpstreams * policysim.Slots / healthServiceTime.Seconds()
	for i := range overloadIngressNodes {
		client := service.Client(policysim.Domains[i%len(policysim.Domains)], policysim.NewBudgetPolicy(loop, "orders"), 0)
		var poll func()
		poll = func() {
			client.Balancer.ReportHealth(loop.Now(), "orders", failing.Endpoint.Instance, true)
			client.Balancer.ReportHealth(loop.Now(), "orders", slow.Endpoint.Instance, true)
			client.Balancer.ReportHealth(loop.Now(), "orders", unhealthy.Endpoint.Instance, false)
			mostEjected = max(mostEjected, client.Balancer.Ejected("orders"))
			loop.After(healthPoll, poll)
		}
		loop.After(0, poll)
		loop.Arrivals(rate/overloadIngressNodes, healthEnd, func() {
			counted := loop.Elapsed() >= healthFaultFrom
			client.Call(loop.Now().Add(time.Second), func(r policysim.Response) {
				if counted {
					calls++
					if r.Status >= http.StatusInternalServerError {
						failed++
					}
				}
			})
		})
	}
	before := make(map[*policysim.Server]int)
	loop.After(healthFaultFrom, func() {
		for _, s := range service.Servers {
			before[s] = s.Arrived
		}
	})
	loop.Run(healthEnd)
	// Attempts at an upstream per call; retries count too.
	share := func(s *policysim.Server) float64 { return float64(s.Arrived-before[s]) / float64(calls) }
	return []Row{
		Unbounded("policy/health/failing-but-healthy/calls", share(failing), "of-calls"),
		Unbounded("policy/health/slow-but-healthy/calls", share(slow), "of-calls"),
		Unbounded("policy/health/working-but-unhealthy/calls", share(unhealthy), "of-calls"),
		Unbounded("policy/health/working-but-reported-full/calls", share(full), "of-calls"),
		Unbounded("policy/health/errors", float64(failed)/float64(calls), "of-calls"),
		AtMost("policy/health/ejected", float64(mostEjected), "upstreams", overloadUpstreams/3),
	}
}
