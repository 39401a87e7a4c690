package move

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// baselineConfidence is the confidence level of the upper bound on the baseline
	// rate.
	baselineConfidence = 0.999
	// baselineFactor and baselineMargin widen the bound. The baseline was measured
	// earlier, and nothing else distinguishes changed conditions from a bad version.
	baselineFactor = 3
	baselineMargin = 0.05
	// minBaselineCalls is the least number of calls to the old version for a baseline.
	minBaselineCalls = 30
	// maxBaselineRate keeps the bound below the high failure rates that the test is
	// meant to detect.
	maxBaselineRate = 0.5
)

// baselineRates are the alternative rates of bad responses in the test against the
// baseline.
var baselineRates = [...]float64{0.7, 0.98}

// baseline compares the new version with the earlier results of the old version in the
// same move. It is used for calls made while no call goes to the old version, and
// detects only high rates of bad responses. It is owned by the decider's goroutine.
type baseline struct {
	sums  [len(baselineRates)]float64
	prior prior
}

// toleratedRate returns the rate of bad responses up to which the new version counts as
// no worse than the baseline. The second result is false if there are too few calls to
// the old version.
func toleratedRate(old Counts, k kind) (float64, bool) {
	if old.Calls < minBaselineCalls {
		return 0, false
	}
	bad := float64(old.bad(k))
	upper := distuv.Beta{Alpha: bad + 1, Beta: max(float64(old.Calls)-bad, 1)}.Quantile(baselineConfidence)
	return min(baselineFactor*upper+baselineMargin, maxBaselineRate), true
}

// update adds new calls, of which bad had a bad response, to the test against the given
// tolerated rate. logCap bounds the log of the evidence that the update can add.
func (b *baseline) update(now time.Time, window time.Duration, calls, bad uint64, rate, logCap float64) {
	added := b.prior.mass(now, window)
	for i, p := range baselineRates {
		ratio := float64(bad)*math.Log(p/rate) + float64(calls-bad)*math.Log((1-p)/(1-rate))
		b.sums[i] = min((b.sums[i]+added)*math.Exp(min(ratio, logCap)), maxEvidence)
	}
}

// value returns the current e-value.
func (b *baseline) value() float64 {
	sum := 0.0
	for _, s := range b.sums {
		sum += s
	}
	return sum / float64(len(b.sums))
}
