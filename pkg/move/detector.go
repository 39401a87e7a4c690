package move

import (
	"math"
	"time"
)

// alternatives are the odds ratios of bad responses that the test is designed to
// detect.
var alternatives = [...]float64{3, 8, 30, 300}

// testedOdds are the tolerated odds ratio followed by the alternatives.
var testedOdds = append([]float64{toleratedOdds}, alternatives[:]...)

// detector is the concurrent test: a sequential test for one kind of bad response on
// one route that compares calls to both versions at the same time. Its statistic, the
// e-value, is a mixture, over alternatives and over the times at which a fault may
// begin, of likelihood ratios against the tolerated odds ratio. Under any odds ratio up
// to the tolerated one, the sum of the statistic and the prior mass of later times is a
// supermartingale that starts at 1. By Ville's inequality it ever reaches x with
// probability at most 1/x, regardless of how often it is evaluated. It is owned by the
// decider's goroutine.
type detector struct {
	// sums[i] is the mixture over starting times for alternatives[i].
	sums  [len(alternatives)]float64
	prior prior
}

// update adds one block. logCap bounds the log of the evidence that the update can add.
// Capping lowers the expectation of the likelihood ratio, so the bound on false alarms
// still holds.
func (d *detector) update(now time.Time, window time.Duration, b block, logCap float64) {
	added := d.prior.mass(now, window)
	var logs []float64
	if b.informative() {
		logs = b.likelihoods(testedOdds)
	}
	for i := range d.sums {
		d.sums[i] += added
		if logs != nil {
			d.sums[i] *= math.Exp(min(logs[i+1]-logs[0], logCap))
		}
		d.sums[i] = min(d.sums[i], maxEvidence)
	}
}

// maxEvidence keeps the sums finite once the evidence is conclusive.
const maxEvidence = 1e15

// value returns the current e-value.
func (d *detector) value() float64 {
	sum := 0.0
	for _, s := range d.sums {
		sum += s
	}
	return sum / float64(len(d.sums))
}
