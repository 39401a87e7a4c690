package bench

import (
	"fmt"
	"time"

	"corianderwood.example/corianderwood/harness/internal/policysim"
)

// The model of the spill-over benchmark: all calls come from one failure domain, whose
// two upstreams have a third of the capacity.
const (
	spillServiceTime = 20 * time.Millisecond
	spillMeasureFrom = 5 * time.Second
	spillEnd         = 25 * time.Second
)

// policySpill measures latency and locality while the calls of one failure domain approach
// and exceed the capacity of its own upstreams.
func policySpill(seed uint64) []policyTask {
	var tasks []policyTask
	for _, load := range []float64{0.3, 0.6, 0.9, 1.2, 1.8} {
		tasks = append(tasks, policyTask{comparison: true, run: func() []Row {
			p99, local := runSpill(seed, load)
			name := fmt.Sprintf("policy/spill/domain-load=%g", load)
			return []Row{
				Unbounded(name+"/p99", p99, "ms"),
				Unbounded(name+"/same-domain", local, "of-calls"),
			}
		}})
	}
	return tasks
}

// runSpill returns the p99 latency of attempts in ms, and the share of the attempts that
// stay in the domain; load is relative to the capacity of the domain's own upstreams.
func runSpill(seed uint64, load float64) (p99, local float64) {
	loop := policysim.NewLoop(seed)
	service := policysim.NewService(loop, "storefront", overloadUpstreams, policysim.Slots, spillServiceTime, true)
	domain := policysim.Domains[0]
	upstreams := overloadUpstreams / len(policysim.Domains)
	rate := load * float64(upstreams*policysim.Slots) / spillServiceTime.Seconds()
	var latencies []float64
	near := 0
	for range upstreams {
		client := service.Client(domain, policysim.NewBudgetPolicy(loop, "storefront"), 0)
		client.OnAttemptEnd = func(s *policysim.Server, latency time.Duration, _ bool) {
			if loop.Elapsed() < spillMeasureFrom {
				return
			}
			latencies = append(latencies, float64(latency)/float64(time.Millisecond))
			if s.Endpoint.FailureDomain == domain {
				near++
			}
		}
		loop.Arrivals(rate/float64(upstreams), spillEnd, func() {
			client.Call(loop.Now().Add(time.Second), func(policysim.Response) {})
		})
	}
	loop.Run(spillEnd)
	return percentile99(latencies), float64(near) / float64(len(latencies))
}
