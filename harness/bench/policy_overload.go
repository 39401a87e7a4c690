package bench

import (
	"fmt"
	"net/http"
	"time"

	"corianderwood.example/corianderwood/harness/internal/policysim"
)

// The model of the overload benchmark.
const (
	overloadUpstreams   = 6
	overloadEntrances   = 6
	overloadServiceTime = 50 * time.Millisecond
	overloadDeadline    = 500 * time.Millisecond
	overloadAttempt     = 250 * time.Millisecond
	// tightAttempt leaves room for little more than two service times.
	tightAttempt   = 120 * time.Millisecond
	overloadWarmUp = 5 * time.Second
	overloadEnd    = 15 * time.Second

	// goodputTarget is the share of the capacity that must be answered in time.
	goodputTarget = 0.9
	// slowFactor is how much longer service times are in a slow failure domain.
	slowFactor = 3
	// goneListed is how long members of a lost failure domain stay listed.
	goneListed = 3 * time.Second
)

// overload describes one run.
type overload struct {
	load       float64 // offered calls as a multiple of the capacity of 6 sound servers
	protection bool    // limits and retry budget
	slow, gone bool    // what happens to the last failure domain
	// tight shortens the attempt timeout, with service times uniform around the mean.
	tight bool
	// abandoned leaves calls at the servers that their callers have given up.
	abandoned bool
}

// policyOverload measures goodput under overload, with and without limits and budget.
func policyOverload(seed uint64) []policyTask {
	var tasks []policyTask
	for _, load := range []float64{1, 1.5, 2, 4} {
		for _, kind := range []struct {
			name string
			o    overload
		}{
			{"sound", overload{load: load}},
			{"domain-slow", overload{load: load, slow: true}},
			{"domain-gone", overload{load: load, gone: true}},
			{"tight-deadline", overload{load: load, tight: true}},
		} {
			name := fmt.Sprintf("policy/goodput/%s/load=%g", kind.name, load)
			protected, unprotected, abandoned := kind.o, kind.o, kind.o
			protected.protection, abandoned.abandoned = true, true
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

// runOverload returns the calls answered within their deadlines after the warm-up, as
// a share of the capacity that the servers had in that time.
func runOverload(seed uint64, o overload) float64 {
	loop := policysim.NewLoop(seed)
	service := policysim.NewService(loop, "sheetwatch", overloadUpstreams,
		policysim.Slots, overloadServiceTime, o.protection)
	broken := func(s *policysim.Server) bool {
		return s.Endpoint.FailureDomain == policysim.Domains[len(policysim.Domains)-1]
	}
	rate := float64(policysim.Slots) / overloadServiceTime.Seconds()
	capacity := 0.0
	for _, s := range service.Servers {
		switch {
		case o.tight:
			s.ServiceTime = func() time.Duration {
				return time.Duration((0.5 + loop.Rand.Float64()) * float64(overloadServiceTime))
			}
			capacity += rate
		case broken(s) && o.slow:
			s.ServiceTime = func() time.Duration { return loop.Exponential(slowFactor * overloadServiceTime) }
			capacity += rate / slowFactor
		case broken(s) && o.gone:
			loop.After(overloadWarmUp, func() { s.Unresponsive = true })
		default:
			capacity += rate
		}
	}
	attemptTimeout := overloadAttempt
	if o.tight {
		attemptTimeout = tightAttempt
	}
	good := 0
	offered := o.load * rate * overloadUpstreams / overloadEntrances
	for i := range overloadEntrances {
		var retries policysim.Retrier = policysim.NewFixedCount(loop)
		if o.protection {
			retries = policysim.NewBudgetPolicy(loop, "sheetwatch")
		}
		client := service.Client(policysim.Domains[i%len(policysim.Domains)], retries, attemptTimeout)
		client.NoCancellation = o.abandoned
		if o.gone {
			loop.After(overloadWarmUp+goneListed, func() {
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
