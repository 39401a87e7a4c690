package bench

import (
	"fmt"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/harness/internal/policysim"
)

// The model of the overload benchmark.
const (
	overloadUpstreams      = 6
	overloadIngressNodes   = 6
	overloadServiceTime    = 50 * time.Millisecond
	overloadDeadline       = 500 * time.Millisecond
	overloadAttemptTimeout = 250 * time.Millisecond
	// tightAttemptTimeout is little more than two service times.
	tightAttemptTimeout = 120 * time.Millisecond
	overloadWarmUp      = 5 * time.Second
	overloadEnd         = 15 * time.Second

	// goodputTarget is the required share of the capacity that is answered in time.
	goodputTarget = 0.9
	// slowFactor is the factor on service times in a slow failure domain.
	slowFactor = 3
	// lostDomainListed is the time for which the members of a lost failure domain stay
	// listed after the loss.
	lostDomainListed = 3 * time.Second
)

// overload holds the parameters of one run.
type overload struct {
	load                   float64 // offered calls as a multiple of the capacity of 6 healthy servers
	protected              bool    // use limits and the retry budget, not 3 fixed retries
	slowDomain, lostDomain bool    // fault of the last failure domain
	// tightTimeout shortens the attempt timeout; service times are then uniformly
	// distributed around their mean.
	tightTimeout bool
	// noCancellation lets servers continue with calls that their callers have abandoned.
	noCancellation bool
}

// policyOverload measures goodput under overload, with and without limits and retry
// budget.
func policyOverload(seed uint64) []policyTask {
	var tasks []policyTask
	for _, load := range []float64{1, 1.5, 2, 4} {
		for _, kind := range []struct {
			name string
			o    overload
		}{
			{"sound", overload{load: load}},
			{"domain-slow", overload{load: load, slowDomain: true}},
			{"domain-gone", overload{load: load, lostDomain: true}},
			{"tight-deadline", overload{load: load, tightTimeout: true}},
		} {
			name := fmt.Sprintf("policy/goodput/%s/load=%g", kind.name, load)
			protected, unprotected, abandoned := kind.o, kind.o, kind.o
			protected.protected, abandoned.noCancellation = true, true
			tasks = append(tasks,
				policyTask{run: func() []Row {
					return []Row{AtLeast(name, runOverload(seed, protected), "of-capacity", goodputTarget)}
				}},
				policyTask{comparison: true, run: func() []Row {
					return []Row{
						Unbounded(name+"/unprotected", runOverload(seed, unprotected), "of-capacity"),
						Unbounded(name+"/unprotected-no-cancellation", runOverload(seed, abandoned), "of-capacity"),
					}
				}})
		}
	}
	return tasks
}

// runOverload returns the goodput after the warm-up: the calls answered within their
// deadlines, as a share of the servers' capacity in that time.
func runOverload(seed uint64, o overload) float64 {
	loop := policysim.NewLoop(seed)
	service := policysim.NewService(loop, "sheetwatch", overloadUpstreams,
		policysim.Slots, overloadServiceTime, o.protected)
	broken := func(s *policysim.Server) bool {
		return s.Endpoint.FailureDomain == policysim.Domains[len(policysim.Domains)-1]
	}
	rate := float64(policysim.Slots) / overloadServiceTime.Seconds()
	capacity := 0.0
	for _, s := range service.Servers {
		switch {
		case o.tightTimeout:
			s.ServiceTime = func() time.Duration {
				return time.Duration((0.5 + loop.Rand.Float64()) * float64(overloadServiceTime))
			}
			capacity += rate
		case broken(s) && o.slowDomain:
			s.ServiceTime = func() time.Duration { return loop.Exponential(slowFactor * overloadServiceTime) }
			capacity += rate / slowFactor
		case broken(s) && o.lostDomain:
			loop.After(overloadWarmUp, func() { s.Unresponsive = true })
		default:
			capacity += rate
		}
	}
	attemptTimeout := overloadAttemptTimeout
	if o.tightTimeout {
		attemptTimeout = tightAttemptTimeout
	}
	good := 0
	offered := o.load * rate * overloadUpstreams / overloadIngressNodes
	for i := range overloadIngressNodes {
		var retries policysim.Retrier = policysim.NewFixedCount(loop)
		if o.protected {
			retries = policysim.NewBudgetPolicy(loop, "sheetwatch")
		}
		client := service.Client(policysim.Domains[i%len(policysim.Domains)], retries, attemptTimeout)
		client.NoCancellation = o.noCancellation
		if o.lostDomain {
			loop.After(overloadWarmUp+lostDomainListed, func() {
				client.UpdateMembers(service, func(s *policysim.Server) bool { return !broken(s) })
			})
		}
		loop.Arrivals(offered, overloadEnd, func() {
			deadline := loop.Now().Add(overloadDeadline)
			client.Call(deadline, func(r policysim.Response) {
				inTime := r.Status == http.StatusOK && !loop.Now().After(deadline)
				if inTime && loop.Elapsed() > overloadWarmUp {
					good++
				}
			})
		})
	}
	loop.Run(overloadEnd)
	return float64(good) / (capacity * (overloadEnd - overloadWarmUp).Seconds())
}
