package bench

import (
	"fmt"
	"time"

	"corianderwood.example/corianderwood/harness/internal/policysim"
	"corianderwood.example/corianderwood/pkg/retry"
)

// The model of the retry benchmark: a chain of services whose deepest one becomes slow.
const (
	chainDepth     = 5
	chainUpstreams = 3
	chainEntrances = 3
	chainRate      = 300 // calls per second from callers
	chainDeadline  = 2 * time.Second
	chainAttempt   = 300 * time.Millisecond
	// chainSlots is the number of slots in the upper services. It is so large that
	// their limits do not hide the retries.
	chainSlots     = 200
	chainUpperTime = 5 * time.Millisecond
	chainDeepTime  = 20 * time.Millisecond
	// chainSlowFactor makes the deepest service too slow for its load, but not dead.
	chainSlowFactor = 10
	chainSlowFrom   = 10 * time.Second
	chainEnd        = 70 * time.Second
)

// policyRetries compares the budget with a fixed count of 3 retries at every level. The
// bound is 1.1 plus the share of the full budgets at the start of the slow time.
func policyRetries(seed uint64) []policyTask {
	calls := chainRate * (chainEnd - chainSlowFrom).Seconds()
	budgets := float64(chainEntrances + (chainDepth-1)*chainUpstreams)
	bound := 1 + retry.DefaultRatio + budgets*retry.DefaultCap/calls
	fixed := func(name string, honourSpent bool) policyTask {
		return policyTask{comparison: true, run: func() []Row {
			r := runChain(seed, true, func(l *policysim.Loop, _ string) policysim.Retrier {
				f := policysim.NewFixedCount(l)
				f.HonourSpent = honourSpent
				return f
			})
			return []Row{
				Unbounded("policy/retries/amplification/"+name, r.amplification, "attempts/call"),
				Unbounded("policy/retries/answered/"+name, r.answered, "of-calls"),
			}
		}}
	}
	budget := policyTask{run: func() []Row {
		r := runChain(seed, true, func(l *policysim.Loop, dependency string) policysim.Retrier {
			return policysim.NewBudgetPolicy(l, dependency)
		})
		return []Row{
			AtMost("policy/retries/amplification/budget", r.amplification, "attempts/call", bound),
			Unbounded("policy/retries/answered/budget", r.answered, "of-calls"),
		}
	}}
	noMargin := policyTask{comparison: true, run: func() []Row {
		r := runChain(seed, false, func(l *policysim.Loop, dependency string) policysim.Retrier {
			return policysim.NewBudgetPolicy(l, dependency)
		})
		return []Row{
			Unbounded("policy/retries/amplification/budget-no-hop-margin", r.amplification, "attempts/call"),
			Unbounded("policy/retries/answered/budget-no-hop-margin", r.answered, "of-calls"),
		}
	}}
	return []policyTask{budget, noMargin, fixed("fixed-3", false), fixed("fixed-3-spent", true)}
}

// chainResult is measured while the deepest service is slow.
type chainResult struct {
	amplification float64 // attempts at the deepest level per call of a caller
	answered      float64 // share of calls answered in time
}

// runChain runs the chain; margin tells whether levels keep HopMargin back.
func runChain(seed uint64, margin bool, retrier func(*policysim.Loop, string) policysim.Retrier) chainResult {
	loop := policysim.NewLoop(seed)
	deep := policysim.NewService(loop, "level5", chainUpstreams, policysim.Slots, chainDeepTime, true)
	for _, s := range deep.Servers {
		s.ServiceTime = func() time.Duration {
			if loop.Elapsed() >= chainSlowFrom {
				return loop.Exponential(chainSlowFactor * chainDeepTime)
			}
			return loop.Exponential(chainDeepTime)
		}
	}
	next := deep
	for level := chainDepth - 1; level >= 1; level-- {
		name := fmt.Sprintf("level%d", level)
		service := policysim.NewService(loop, name, chainUpstreams, chainSlots, chainUpperTime, true)
		for _, s := range service.Servers {
			s.Downstream = next.Client(s.Endpoint.FailureDomain, retrier(loop, next.Name), chainAttempt)
			s.Downstream.NoHopMargin = !margin
		}
		next = service
	}
	calls, good, before := 0, 0, 0
	loop.After(chainSlowFrom, func() { before = deep.Arrived() })
	for i := range chainEntrances {
		client := next.Client(policysim.Domains[i], retrier(loop, next.Name), chainAttempt)
		client.NoHopMargin = !margin
		loop.Arrivals(chainRate/chainEntrances, chainEnd, func() {
			counted := loop.Elapsed() >= chainSlowFrom
			if counted {
				calls++
			}
			client.Call(loop.Now().Add(chainDeadline), func(r policysim.Response) {
				if counted && r.Status < 400 {
					good++
				}
			})
		})
	}
	loop.Run(chainEnd + chainDeadline)
	return chainResult{
		amplification: float64(deep.Arrived()-before) / float64(calls),
		answered:      float64(good) / float64(calls),
	}
}
