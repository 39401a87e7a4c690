package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/retry"
)

var (
	budgetStart   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	budgetFailure = retry.Classify(retry.Outcome{Status: 503, Repeatable: true})
)

// policyBudget checks the claims of the article "Give each outbound dependency a retry
// budget, not a retry count" against the product's retry policy.
func policyBudget(seed uint64) []policyTask {
	const calls = 100_000
	// Less than one token of the cap is left when the first retry is refused; a retry
	// granted from it counts as after the cap. 2/calls covers it, since more than half of
	// all calls come after the cap.
	const remainder = 2.0 / calls
	one := func(measure func() Row) policyTask {
		return policyTask{run: func() []Row { return []Row{measure()} }}
	}
	return []policyTask{
		one(func() Row {
			granted, _ := runBudget(seed, calls, time.Millisecond, 0.03)
			return AtLeast("policy/budget/blip-3-percent/retries-granted", granted, "of-wanted", 1)
		}),
		one(func() Row {
			_, afterCap := runBudget(seed, calls, time.Millisecond, 1)
			return AtMost("policy/budget/outage/amplification-after-cap", afterCap, "attempts/call",
				1+retry.DefaultRatio+remainder)
		}),
		one(func() Row {
			return AtMost("policy/budget/deadline-first/tokens-wasted", wastedTokens(seed, false), "tokens", 0)
		}),
		one(func() Row {
			return Unbounded("policy/budget/budget-first/tokens-wasted", wastedTokens(seed, true), "tokens")
		}),
		one(func() Row {
			// Uniform jitter gives a smaller value in one of a million runs.
			return AtLeast("policy/budget/jitter/flat", jitterUniformity(seed), "p-value", 1e-6)
		}),
		one(func() Row {
			granted, _ := runBudget(seed, calls, outageGap, 0.03)
			return Unbounded("policy/budget/blip-3-percent/retries-granted/few-calls", granted, "of-wanted")
		}),
		one(func() Row {
			return Unbounded("policy/budget/outage-60s/amplification/1400-callers", outageAmplification(seed), "attempts/call")
		}),
	}
}

// runBudget sends calls whose attempts fail with the given probability. It returns the
// granted share of the first retries, and the attempts per call after the cap has been
// spent.
func runBudget(seed uint64, calls int, gap time.Duration, failing float64) (granted, afterCap float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	policy := retry.NewPolicy("claims", config.Retry{}, rand.New(rand.NewPCG(seed, 2)))
	now := budgetStart
	wanted, given, callsAfter, retriesAfter := 0, 0, 0, 0
	capSpent := false
	for range calls {
		now = now.Add(gap)
		policy.FirstAttemptAt(now)
		if capSpent {
			callsAfter++
		}
		for attempt := 1; rnd.Float64() < failing; attempt++ {
			d := policy.Decide(now, now.Add(time.Minute), attempt, budgetFailure, 0)
			if attempt == 1 {
				wanted++
			}
			if !d.Retry {
				capSpent = capSpent || d.Refused == reason.RetryBudget
				break
			}
			if attempt == 1 {
				given++
			}
			if capSpent {
				retriesAfter++
			}
		}
	}
	return float64(given) / float64(wanted), 1 + float64(retriesAfter)/float64(callsAfter)
}

// wastedTokens returns the tokens spent on retries that could not finish before the
// deadline, by the product's policy or, with budgetFirst, by a policy that checks its
// budget before the deadline.
func wastedTokens(seed uint64, budgetFirst bool) float64 {
	const minResponse = 50 * time.Millisecond
	rnd := rand.New(rand.NewPCG(seed, 3))
	p := config.Retry{Ratio: 1, Cap: 1000}
	policy, budget := retry.NewPolicy("claims", p, rand.New(rand.NewPCG(seed, 4))), retry.NewBudget(p)
	now, wasted := budgetStart, 0.0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		deadline := now.Add(time.Duration(rnd.Int64N(int64(300 * time.Millisecond))))
		if budgetFirst {
			budget.RecordFirstAt(now)
			wait := time.Duration(rnd.Int64N(int64(retry.DefaultBase)))
			if budget.TryTakeAt(now) && now.Add(wait+minResponse).After(deadline) {
				wasted++
			}
			continue
		}
		policy.FirstAttemptAt(now)
		before := policy.Tokens()
		if policy.Decide(now, deadline, 1, budgetFailure, minResponse).Refused == reason.RetryDeadline {
			wasted += before - policy.Tokens()
		}
	}
	return wasted
}

// jitterUniformity tests with chi-square that the waits of each attempt number are
// uniformly distributed. It returns the smallest p-value over the attempt numbers.
func jitterUniformity(seed uint64) float64 {
	const bins, samples = 20, 20_000
	policy := retry.NewPolicy("claims", config.Retry{Ratio: 1, Cap: 100 * samples}, rand.New(rand.NewPCG(seed, 5)))
	least := 1.0
	for attempt := 1; attempt < retry.MaxAttempts; attempt++ {
		width := min(retry.DefaultBase<<(attempt-1), retry.DefaultMaxWait)
		var counts [bins]float64
		for range samples {
			policy.FirstAttemptAt(budgetStart)
			d := policy.Decide(budgetStart, time.Time{}, attempt, budgetFailure, 0)
			counts[min(int(d.Wait*bins/width), bins-1)]++
		}
		expected, chi2 := float64(samples)/bins, 0.0
		for _, n := range counts {
			chi2 += (n - expected) * (n - expected) / expected
		}
		least = math.Min(least, distuv.ChiSquared{K: bins - 1}.Survival(chi2))
	}
	return least
}

// Load of one dependency at the design size: 62,000 calls/s over 1,400 nodes and 98
// services.
const (
	outageCallers  = 1400
	outageRate     = 62_000.0 / 1400 / 98                      // calls/s of one caller
	outageGap      = time.Second * outageCallers * 98 / 62_000 // time between calls
	outageWarmUp   = 10 * time.Minute
	outageDuration = time.Minute
)

// outageAmplification returns the attempts per call in the first minute of an outage of
// one dependency that all nodes of the design size call. Ten minutes without failures
// precede the outage.
func outageAmplification(seed uint64) float64 {
	rnd := rand.New(rand.NewPCG(seed, 6))
	calls, attempts := 0, 0
	for range outageCallers {
		policy := retry.NewPolicy("claims", config.Retry{}, rand.New(rand.NewPCG(rnd.Uint64(), 7)))
		now := budgetStart
		for now.Sub(budgetStart) < outageWarmUp+outageDuration {
			now = now.Add(time.Duration(rnd.ExpFloat64() / outageRate * float64(time.Second)))
			policy.FirstAttemptAt(now)
			if now.Sub(budgetStart) < outageWarmUp {
				continue
			}
			calls++
			attempts++
			for n := 1; policy.Decide(now, now.Add(time.Minute), n, budgetFailure, 0).Retry; n++ {
				attempts++
			}
		}
	}
	return float64(attempts) / float64(calls)
}
