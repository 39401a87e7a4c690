package move

import "math"

// maxSupport bounds the computation for one block; larger blocks are not tested.
const maxSupport = 1 << 18

// block is a set of calls that were each routed to the new version with the same
// probability. If the versions don't differ, the bad responses are distributed over
// them at random, whatever their cause.
type block struct {
	newCalls, oldCalls, newBad, oldBad uint64
}

// informative reports whether the block contains evidence on a difference between the
// versions.
func (b block) informative() bool {
	bad := b.newBad + b.oldBad
	return b.newCalls > 0 && b.oldCalls > 0 && bad > 0 && bad < b.newCalls+b.oldCalls
}

// likelihoods returns, for each odds ratio, the log probability of the block's split of
// bad responses given their total: Fisher's noncentral hypergeometric distribution. It
// returns nil if the block exceeds maxSupport.
func (b block) likelihoods(odds []float64) []float64 {
	bad := b.newBad + b.oldBad
	low := uint64(0)
	if bad > b.oldCalls {
		low = bad - b.oldCalls
	}
	high := min(bad, b.newCalls)
	if high-low > maxSupport {
		return nil
	}
	// weights[i] is the log weight of low+i bad responses of the new version at odds
	// ratio 1, up to a constant.
	weights := make([]float64, high-low+1)
	for x := low; x < high; x++ {
		ratio := float64(b.newCalls-x) * float64(bad-x) / (float64(x+1) * float64(b.oldCalls+x+1-bad))
		weights[x-low+1] = weights[x-low] + math.Log(ratio)
	}
	result := make([]float64, len(odds))
	at := float64(b.newBad - low)
	for i, o := range odds {
		logOdds := math.Log(o)
		peak := math.Inf(-1)
		for j, w := range weights {
			peak = max(peak, w+float64(j)*logOdds)
		}
		sum := 0.0
		for j, w := range weights {
			sum += math.Exp(w + float64(j)*logOdds - peak)
		}
		result[i] = weights[b.newBad-low] + at*logOdds - peak - math.Log(sum)
	}
	return result
}
