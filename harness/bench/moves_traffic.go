package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// moveTraffic is the load of one service: calls per second by route, the numbers of
// ingress nodes and of upstreams of each version, and the rates of failed and slow
// responses of a good version.
type moveTraffic struct {
	routes       []moveRoute
	ingressNodes int
	upstreams    int
	failureRate  float64
	slowRate     float64
}

type moveRoute struct {
	name string
	rate float64 // calls per second over all ingress nodes
}

// drawTraffic draws a load as in the design's two deployments: 3 to 6 upstreams, a few
// hundred calls per second, and routes with much and with little traffic. The last two
// routes are the small ones, with about 2 and 0.5 calls/s.
func drawTraffic(rnd *rand.Rand) moveTraffic {
	total := 150 + 200*rnd.Float64()
	return moveTraffic{
		routes: []moveRoute{
			{"catalogue", 0.55 * total}, {"stock", 0.30 * total}, {"orders", 0.14 * total},
			{"charts", 1 + 2*rnd.Float64()}, {"returns", 0.3 + 0.4*rnd.Float64()},
		},
		ingressNodes: 13,
		upstreams:    3 + rnd.IntN(4),
		failureRate:  0.002 + 0.008*rnd.Float64(),
		slowRate:     0.01 + 0.03*rnd.Float64(),
	}
}

// poisson draws the number of calls in the interval at the given rate per second.
func poisson(rnd *rand.Rand, rate float64, interval time.Duration) int {
	limit, product, n := math.Exp(-rate*interval.Seconds()), rnd.Float64(), 0
	for product > limit {
		product *= rnd.Float64()
		n++
	}
	return n
}
