package bench

import (
	"fmt"
	"time"

	"corianderwood.example/corianderwood/harness/internal/policysim"
	"corianderwood.example/corianderwood/pkg/retry"
)

// The model of the retry benchmark: a chain of services whose last one becomes slow.
const (
	chainDepth          = 5
	chainUpstreams      = 3
	chainIngressNodes   = 3
	chainRate           = 300 // calls per second from callers
	chainDeadline       = 2 * time.Second
	chainAttemptTimeout = 300 * time.Millisecond
	// chainSlots is the number of slots of the servers above the last service. It is so
	// large that their limits do not mask the retries.
	chainSlots            = 200
	chainUpperServiceTime = 5 * time.Millisecond
	chainDeepServiceTime  = 20 * time.Millisecond
	// chainSlowFactor makes the last service too slow for its load, but not unavailable.
	chainSlowFactor = 10
	chainSlowFrom   = 10 * time.Second
	chainEnd        = 70 * time.Second
)

// policyRetries compares the retry budget with a fixed count of 3 retries at every level,
// with and without HonourSpent, and with the budget without retry.HopMargin.
// The bound on attempts per call is 1 plus the budget's ratio, plus the tokens of all
// budgets, which are full when the slow time starts, divided by the calls in that time.
func policyRetries(seed uint64) []policyTask {
	calls := chainRate * (chainEnd - chainSlowFrom).Seconds()
	budgets := float64(chainIngressNodes + (chainDepth-1)*chainUpstreams)
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

// chainResult is measured while the last service is slow.
type chainResult struct {
	amplification float64 // attempts at the last service per call of a caller
	answered      float64 // share of calls answered in time
}

// runChain runs the chain. With margin, each level keeps back retry.HopMargin.
func runChain(seed uint64, margin bool, retrier func(*policysim.Loop, string) policysim.Retrier) chainResult {
	loop := policysim.NewLoop(seed)
	deep := policysim.NewService(loop, "level5", chainUpstreams, policysim.Slots, chainDeepServiceTime, true)
	for _, s := range deep.Servers {
		s.ServiceTime = func() time.Duration {
			if loop.Elapsed() >= chainSlowFrom {
				return loop.Exponential(chainSlowFactor * chainDeepServiceTime)
			}
			return loop.Exponential(chainDeepServiceTime)
		}
	}
	next := deep
	for level := chainDepth - 1; level >= 1; level-- {
		name := fmt.Sprintf("level%d", level)
		service := policysim.NewService(loop, name, chainUpstreams, chainSlots, chainUpperServiceTime, true)
		for _, s := range service.Servers {
			s.Downstream = next.Client(s.Endpoint.FailureDomain, retrier(loop, next.Name), chainAttemptTimeout)
			s.Downstream.NoHopMargin = !margin
		}
		next = service
	}
	calls, good, before := 0, 0, 0
	loop.After(chainSlowFrom, func() { before = deep.Arrived() })
	for i := range chainIngressNodes {
		client := next.Client(policysim.Domains[i], retrier(loop, next.Name), chainAttemptTimeout)
		client.NoHopMargin = !margin
		loop.Arrivals(chainRate/chainIngressNodes, chainEnd, func() {
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
