package move

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// binomial draws the number of bad responses of n calls.
func binomial(rnd *rand.Rand, n uint64, p float64) uint64 {
	bad := uint64(0)
	for range n {
		if rnd.Float64() < p {
			bad++
		}
	}
	return bad
}

// alarmRate returns the fraction of streams in which the e-value ever reaches 20. The
// odds of bad responses of the new version are those of the old one times the ratio.
func alarmRate(rnd *rand.Rand, ratio float64, streams int) float64 {
	reached := 0
	for range streams {
		var d detector
		for i := range 100 {
			// The rate changes continually, as in incidents that affect both versions.
			rate := 0.01 + 0.3*math.Pow(rnd.Float64(), 4)
			odds := ratio * rate / (1 - rate)
			b := block{newCalls: 1 + rnd.Uint64N(30), oldCalls: 1 + rnd.Uint64N(60)}
			b.newBad = binomial(rnd, b.newCalls, odds/(1+odds))
			b.oldBad = binomial(rnd, b.oldCalls, rate)
			d.update(begin.Add(time.Duration(i)*time.Second), 100*time.Second, b, math.Inf(1))
			if d.value() >= 20 {
				reached++
				break
			}
		}
	}
	return float64(reached) / float64(streams)
}

// TestProofFalseAlarmRate guards against more false alarms than configured when the
// test is evaluated after every update: an e-value of 20 may be reached in at most 5%
// of the streams, up to the tolerated odds ratio. A clearly worse version must reach
// it; otherwise the test would detect nothing.
func TestProofFalseAlarmRate(t *testing.T) {
	rnd := rand.New(rand.NewPCG(envSeed(), 3))
	for _, ratio := range []float64{0.5, 1, toleratedOdds} {
		if got := alarmRate(rnd, ratio, 1000); got > 0.05 {
			t.Errorf("at odds ratio %g, %g of the streams raise a false alarm, want at most 0.05", ratio, got)
		}
	}
	if got := alarmRate(rnd, 5, 100); got < 0.9 {
		t.Errorf("at odds ratio 5, %g of the streams raise an alarm, want nearly all", got)
	}
}
