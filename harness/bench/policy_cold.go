package bench

import (
	"fmt"
	"slices"
	"time"

	"corianderwood.example/corianderwood/harness/internal/policysim"
	"corianderwood.example/corianderwood/pkg/balance"
)

// The model of the cold start benchmark: a seventh upstream joins six warm ones.
const (
	coldServiceTime = 20 * time.Millisecond
	coldLoad        = 0.7 // of the capacity of the six warm upstreams
	coldDeadline    = time.Second
	// coldFactor is how much longer service times are at the start; the factor falls to
	// 1 in coldTime.
	coldFactor = 6
	coldTime   = 10 * time.Second
	coldFrom   = 10 * time.Second
	coldWarm   = 20 * time.Second // end of the ramp
	coldEnd    = 40 * time.Second
)

// policyColdStart measures a new upstream that is ramped and one that is not, with few
// busy entrances and with many that send few calls each.
func policyColdStart(seed uint64) []policyTask {
	var tasks []policyTask
	for _, entrances := range []int{12, 240} {
		tasks = append(tasks, policyTask{run: func() []Row {
			ramped, unramped := runColdStart(seed, true, entrances), runColdStart(seed, false, entrances)
			name := fmt.Sprintf("policy/cold-start/entrances=%d/", entrances)
			return []Row{
				AtMost(name+"most-running", float64(max(ramped.running, unramped.running)), "calls", policysim.Slots),
				Unbounded(name+"busiest/ramped", float64(ramped.busiest), "calls"),
				Unbounded(name+"busiest/unramped", float64(unramped.busiest), "calls"),
				Unbounded(name+"busiest-warm/ramped", float64(ramped.warm), "calls"),
				Unbounded(name+"p99/ramped", ramped.p99, "ms"),
				Unbounded(name+"p99/unramped", unramped.p99, "ms"),
				AtMost(name+"p99-ratio", ramped.p99/unramped.p99, "ramped/unramped", 1),
				Unbounded(name+"p99-new-upstream/ramped", ramped.newP99, "ms"),
				Unbounded(name+"p99-new-upstream/unramped", unramped.newP99, "ms"),
				Unbounded(name+"share-20s-later/ramped", ramped.share, "of-fair-share"),
				Unbounded(name+"share-20s-later/unramped", unramped.share, "of-fair-share"),
			}
		}})
	}
	return tasks
}

type coldResult struct {
	running     int     // most running calls at any upstream
	busiest     int     // most running and waiting calls at the new upstream
	warm        int     // the same at the others from the start of the new one on
	share       float64 // attempts at the new upstream per upstream in its domain, in the last 10 s
	p99, newP99 float64
}

func runColdStart(seed uint64, ramp bool, entrances int) coldResult {
	loop := policysim.NewLoop(seed)
	service := policysim.NewService(loop, "storefront", overloadUpstreams, policysim.Slots, coldServiceTime, true)
	var cold *policysim.Server
	var all, atNew []float64
	var clients []*policysim.Client
	rate := coldLoad * overloadUpstreams * policysim.Slots / coldServiceTime.Seconds()
	for i := range entrances {
		client := service.Client(policysim.Domains[i%len(policysim.Domains)], policysim.NewBudgetPolicy(loop, "storefront"), 0)
		client.OnAttemptEnd = func(s *policysim.Server, latency time.Duration, failed bool) {
			if loop.Elapsed() < coldFrom || loop.Elapsed() > coldWarm {
				return
			}
			ms := float64(latency) / float64(time.Millisecond)
			all = append(all, ms)
			if s == cold {
				atNew = append(atNew, ms)
			}
		}
		clients = append(clients, client)
		loop.Arrivals(rate/float64(entrances), coldEnd, func() {
			client.Call(loop.Now().Add(coldDeadline), func(policysim.Response) {})
		})
	}
	loop.After(coldFrom, func() {
		for _, s := range service.Servers {
			s.PeakLoad = 0
		}
		e := balance.Endpoint{
			Instance: "new", Incarnation: 1, FailureDomain: policysim.Domains[0], Region: "wgtn",
			Service: "storefront", Version: "v1", Slots: policysim.Slots, Since: loop.Now(),
		}
		if !ramp {
			e.Since = loop.Now().Add(-time.Hour)
		}
		cold = service.Add(e, func() time.Duration {
			age := float64(loop.Elapsed()-coldFrom) / float64(coldTime)
			factor := max(1, coldFactor-(coldFactor-1)*age)
			return loop.Exponential(time.Duration(factor * float64(coldServiceTime)))
		}, true)
		for _, client := range clients {
			client.UpdateMembers(service, func(*policysim.Server) bool { return true })
		}
	})
	loop.Run(coldWarm)
	busiest, warm, running := cold.PeakLoad, 0, 0
	for _, s := range service.Servers {
		running = max(running, s.PeakRunning)
		if s != cold {
			warm = max(warm, s.PeakLoad)
		}
	}
	loop.Run(coldEnd - 10*time.Second)
	before, coldBefore := domainArrived(service, cold), cold.Arrived
	loop.Run(coldEnd)
	inDomain := float64(domainArrived(service, cold)-before) / 3
	share := float64(cold.Arrived-coldBefore) / inDomain
	return coldResult{running: running, busiest: busiest, warm: warm, share: share, p99: percentile99(all), newP99: percentile99(atNew)}
}

// domainArrived returns the attempts at all upstreams in the failure domain of s.
func domainArrived(service *policysim.Service, s *policysim.Server) int {
	n := 0
	for _, other := range service.Servers {
		if other.Endpoint.FailureDomain == s.Endpoint.FailureDomain {
			n += other.Arrived
		}
	}
	return n
}

func percentile99(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)*99/100]
}
