package move

import (
	"math"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/combin"
	"pgregory.net/rapid"
)

// expectedRatios sums, over all splits of the block's bad responses, the probability of
// the split at the tolerated odds ratio times the likelihood ratio of each alternative,
// capped at logCap.
func expectedRatios(b block, logCap float64) (total float64, ratios [len(alternatives)]float64) {
	bad := b.newBad + b.oldBad
	for x := max(bad, b.oldCalls) - b.oldCalls; x <= min(bad, b.newCalls); x++ {
		b.newBad, b.oldBad = x, bad-x
		logs := b.likelihoods(testedOdds)
		p := math.Exp(logs[0])
		total += p
		for i := range ratios {
			ratios[i] += p * math.Exp(min(logs[i+1]-logs[0], logCap))
		}
	}
	return total, ratios
}

func drawBlock(t *rapid.T) block {
	b := block{
		newCalls: rapid.Uint64Range(1, 60).Draw(t, "new"),
		oldCalls: rapid.Uint64Range(1, 300).Draw(t, "old"),
	}
	b.newBad = rapid.Uint64Range(0, b.newCalls).Draw(t, "new bad")
	b.oldBad = rapid.Uint64Range(0, b.oldCalls).Draw(t, "old bad")
	return b
}

// TestProofLikelihoodRatioIsFair guards against a test statistic whose mean exceeds 1
// under a tolerable version, which would invalidate the bound on false alarms.
func TestProofLikelihoodRatioIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawBlock(t)
		total, ratios := expectedRatios(b, math.Inf(1))
		if math.Abs(total-1) > 1e-9 {
			t.Fatalf("probabilities of %+v sum to %g", b, total)
		}
		_, capped := expectedRatios(b, 2)
		for i := range ratios {
			if math.Abs(ratios[i]-1) > 1e-9 || capped[i] > 1+1e-9 {
				t.Fatalf("mean ratios of %+v are %g, capped %g", b, ratios[i], capped[i])
			}
		}
	})
}

// TestHypergeometric guards against a wrong distribution, by comparison with the closed
// form at odds ratio 1.
func TestHypergeometric(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawBlock(t)
		bad := int(b.newBad + b.oldBad)
		want := combin.LogGeneralizedBinomial(float64(b.newCalls), float64(b.newBad)) +
			combin.LogGeneralizedBinomial(float64(b.oldCalls), float64(b.oldBad)) -
			combin.LogGeneralizedBinomial(float64(b.newCalls+b.oldCalls), float64(bad))
		if got := b.likelihoods([]float64{1})[0]; math.Abs(got-want) > 1e-8 {
			t.Fatalf("log probability of %+v is %g, want %g", b, got, want)
		}
	})
}

// TestUpdatesNeededForRollback guards against a rollback caused by one burst of
// failures.
func TestUpdatesNeededForRollback(t *testing.T) {
	r := &routeTest{threshold: 1e5}
	all := block{newCalls: 500, newBad: 500, oldCalls: 500}
	counts := Counts{Calls: 500, Failed: 500}
	for update := 1; update <= 10; update++ {
		r.detectors[failure].update(begin.Add(time.Duration(update)*time.Second), time.Hour, all, r.logCap(failure, 3, counts, 3, 0))
		reached := r.evidence(failure) >= r.threshold
		if reached && update < grossFailureUpdates {
			t.Fatalf("%d updates suffice for a rollback, want at least %d", update, grossFailureUpdates)
		}
		if reached {
			return
		}
	}
	t.Fatal("10 updates of total failure don't suffice for a rollback")
}

// sqrtThreshold returns the least suspicious e-value of the route.
func sqrtThreshold(r *routeTest) float64 { return math.Sqrt(r.threshold) }
