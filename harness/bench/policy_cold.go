package bench

import (
	"fmt"
	"slices"
	"time"

	"corianderwood.example/corianderwood/harness/internal/policysim"
	"corianderwood.example/corianderwood/pkg/balance"
)

// The model of the cold-start benchmark: a seventh upstream joins six warm ones.
const (
	coldServiceTime = 20 * time.Millisecond
	coldLoad        = 0.7 // of the capacity of the six warm upstreams
	coldDeadline    = time.Second
	// coldSlowdown is the factor on the service times of the new upstream when it joins.
	// It falls linearly to 1 within coldWarmUp.
	coldSlowdown = 6
	coldWarmUp   = 10 * time.Second
	coldJoinAt   = 10 * time.Second
	coldRampEnd  = 20 * time.Second // end of the ramp
	coldEnd      = 40 * time.Second
)

// policyColdStart measures a new upstream with and without a ramp of its traffic share,
// for few ingress nodes with many calls each and for many with few calls each.
func policyColdStart(seed uint64) []policyTask {
	var tasks []policyTask
	for _, ingressNodes := range []int{12, 240} {
		tasks = append(tasks, policyTask{run: func() []Row {
			ramped, unramped := runColdStart(seed, true, ingressNodes), runColdStart(seed, false, ingressNodes)
			name := fmt.Sprintf("policy/cold-start/entrances=%d/", ingressNodes)
			return []Row{
				AtMost(name+"most-running", float64(max(ramped.peakRunning, unramped.peakRunning)), "calls", policysim.Slots),
				Unbounded(name+"busiest/ramped", float64(ramped.peakLoadNew), "calls"),
				Unbounded(name+"busiest/unramped", float64(unramped.peakLoadNew), "calls"),
				Unbounded(name+"busiest-warm/ramped", float64(ramped.peakLoadWarm), "calls"),
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
	peakRunning  int     // maximum of running calls at any upstream
	peakLoadNew  int     // maximum of running and waiting calls at the new upstream
	peakLoadWarm int     // the same at the other upstreams, after the new one has joined
	share        float64 // attempts at the new upstream relative to the mean of its domain, in the last 10 s
	p99, newP99  float64 // ms, of attempts at all and at the new upstream, from its join to the end of the ramp
}

// runColdStart runs the model. Without ramp, the new upstream's Since lies so far in the
// past that balancers treat it as warm.
func runColdStart(seed uint64, ramp bool, ingressNodes int) coldResult {
	loop := policysim.NewLoop(seed)
	service := policysim.NewService(loop, "storefront", overloadUpstreams, policysim.Slots, coldServiceTime, true)
	var cold *policysim.Server
	var all, atNew []float64
	var clients []*policysim.Client
	rate := coldLoad * overloadUpstreams * policysim.Slots / coldServiceTime.Seconds()
	for i := range ingressNodes {
		client := service.Client(policysim.Domains[i%len(policysim.Domains)], policysim.NewBudgetPolicy(loop, "storefront"), 0)
		client.OnAttemptEnd = func(s *policysim.Server, latency time.Duration, failed bool) {
			if loop.Elapsed() < coldJoinAt || loop.Elapsed() > coldRampEnd {
				return
			}
			ms := float64(latency) / float64(time.Millisecond)
			all = append(all, ms)
			if s == cold {
				atNew = append(atNew, ms)
			}
		}
		clients = append(clients, client)
		loop.Arrivals(rate/float64(ingressNodes), coldEnd, func() {
			client.Call(loop.Now().Add(coldDeadline), func(policysim.Response) {})
		})
	}
	loop.After(coldJoinAt, func() {
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
			age := float64(loop.Elapsed()-coldJoinAt) / float64(coldWarmUp)
			factor := max(1, coldSlowdown-(coldSlowdown-1)*age)
			return loop.Exponential(time.Duration(factor * float64(coldServiceTime)))
		}, true)
		for _, client := range clients {
			client.UpdateMembers(service, func(*policysim.Server) bool { return true })
		}
	})
	loop.Run(coldRampEnd)
	peakLoadNew, peakLoadWarm, peakRunning := cold.PeakLoad, 0, 0
	for _, s := range service.Servers {
		peakRunning = max(peakRunning, s.PeakRunning)
		if s != cold {
			peakLoadWarm = max(peakLoadWarm, s.PeakLoad)
		}
	}
	loop.Run(coldEnd - 10*time.Second)
	before, coldBefore := domainArrived(service, cold), cold.Arrived
	loop.Run(coldEnd)
	inDomain := float64(domainArrived(service, cold)-before) / 3
	share := float64(cold.Arrived-coldBefore) / inDomain
	return coldResult{peakRunning: peakRunning, peakLoadNew: peakLoadNew, peakLoadWarm: peakLoadWarm, share: share, p99: percentile99(all), newP99: percentile99(atNew)}
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

// percentile99 returns the 99th percentile, or 0 if there are no values. It sorts values
// in place.
func percentile99(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)*99/100]
}
