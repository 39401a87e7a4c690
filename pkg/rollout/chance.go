package rollout

import "math"

// chance returns the probability that bad or more of the n responses of the target are among
// the bad ones of all versions if the versions don't differ (Fisher's exact test). It keeps
// verdicts from resting on a few responses of the other versions.
func chance(bad, n, controlBad, controlN uint32) float64 {
	allBad := bad + controlBad
	whole := logChoose(n+controlN, allBad)
	sum := 0.0
	for x := bad; x <= min(allBad, n); x++ {
		if allBad-x > controlN {
			continue
		}
		sum += math.Exp(logChoose(n, x) + logChoose(controlN, allBad-x) - whole)
	}
	return sum
}

// logChoose returns the logarithm of the number of ways to choose k of n.
func logChoose(n, k uint32) float64 {
	lgamma := func(x uint32) float64 { v, _ := math.Lgamma(float64(x) + 1); return v }
	return lgamma(n) - lgamma(k) - lgamma(n-k)
}
