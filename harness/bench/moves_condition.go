package bench

import (
	"math/rand/v2"
	"time"
)

// moveCall holds the properties of one call that a moveCondition depends on.
type moveCall struct {
	at    time.Duration // since the start of the move
	route int
	isNew bool
	share float64 // traffic share of the new version at the ingress node
}

// moveCondition returns the probabilities that a call fails and that it is slow, given
// the probabilities without the condition.
type moveCondition func(c moveCall, failing, slow float64) (float64, float64)

// moveCase is a kind of version: which fault it has, if any, and from which time.
type moveCase struct {
	name string
	bad  bool
	// draw returns the conditions and the time at which the fault of a bad version starts.
	// The fault's condition is the last one. The time is negative if it depends on the
	// traffic share.
	draw func(rnd *rand.Rand, t moveTraffic, window time.Duration) ([]moveCondition, time.Duration)
}

// degradeNew raises the probabilities of the new version's calls to at least the given
// ones where when returns true.
func degradeNew(when func(moveCall) bool, failing, slow float64) moveCondition {
	return func(c moveCall, f, s float64) (float64, float64) {
		if c.isNew && when(c) {
			return max(f, failing), max(s, slow)
		}
		return f, s
	}
}

// incident makes calls of both versions fail and be slow for 10 to 60 s, as an outage of
// a dependency of the service does. It affects one route, or all if only is negative.
func incident(rnd *rand.Rand, window time.Duration, only int) moveCondition {
	from := time.Duration(rnd.Float64() * 0.95 * float64(window))
	until := from + time.Duration(10+50*rnd.Float64())*time.Second
	return func(c moveCall, f, s float64) (float64, float64) {
		if c.at >= from && c.at < until && (only < 0 || c.route == only) {
			return max(f, 0.4), max(s, 0.4)
		}
		return f, s
	}
}

// crash makes one upstream of one version fail its calls for 2 s, the time until the
// ingress nodes have ejected it.
func crash(rnd *rand.Rand, t moveTraffic, window time.Duration) moveCondition {
	from := time.Duration(rnd.Float64() * 0.95 * float64(window))
	isNew := rnd.IntN(2) == 0
	return func(c moveCall, f, s float64) (float64, float64) {
		if c.isNew == isNew && c.at >= from && c.at < from+2*time.Second {
			return max(f, 1/float64(t.upstreams)), s
		}
		return f, s
	}
}

// coldStart makes calls of the new version slow for the first 10 s of the move.
func coldStart(c moveCall, f, s float64) (float64, float64) {
	if c.isNew && c.at < 10*time.Second {
		return f, max(s, 0.3)
	}
	return f, s
}

// commonConditions returns the conditions that apply in every case, good or bad.
func commonConditions(rnd *rand.Rand, t moveTraffic, window time.Duration) []moveCondition {
	return []moveCondition{coldStart, crash(rnd, t, window)}
}

func always(moveCall) bool { return true }

// moveCases are the kinds of versions that the suite runs.
func moveCases() []moveCase {
	bad := func(name string, draw func(rnd *rand.Rand, t moveTraffic, window time.Duration) (moveCondition, time.Duration)) moveCase {
		return moveCase{name: name, bad: true, draw: func(rnd *rand.Rand, t moveTraffic, window time.Duration) ([]moveCondition, time.Duration) {
			fault, from := draw(rnd, t, window)
			return append(commonConditions(rnd, t, window), fault), from
		}}
	}
	severity := func(rnd *rand.Rand) float64 { return 0.1 + 0.9*rnd.Float64() }
	onRoute := func(route int) func(rnd *rand.Rand, t moveTraffic, window time.Duration) (moveCondition, time.Duration) {
		return func(rnd *rand.Rand, _ moveTraffic, _ time.Duration) (moveCondition, time.Duration) {
			return degradeNew(func(c moveCall) bool { return c.route == route }, 0.5+0.5*rnd.Float64(), 0), 0
		}
	}
	return []moveCase{
		{name: "good", draw: func(rnd *rand.Rand, t moveTraffic, window time.Duration) ([]moveCondition, time.Duration) {
			return commonConditions(rnd, t, window), 0
		}},
		{name: "good_incident", draw: func(rnd *rand.Rand, t moveTraffic, window time.Duration) ([]moveCondition, time.Duration) {
			return append(commonConditions(rnd, t, window), incident(rnd, window, -1), incident(rnd, window, -1)), 0
		}},
		{name: "good_route_incident", draw: func(rnd *rand.Rand, t moveTraffic, window time.Duration) ([]moveCondition, time.Duration) {
			return append(commonConditions(rnd, t, window), incident(rnd, window, 3), incident(rnd, window, 2)), 0
		}},
		{name: "good_tolerated", draw: func(rnd *rand.Rand, t moveTraffic, window time.Duration) ([]moveCondition, time.Duration) {
			// The probabilities of failed and slow responses are 1.4 times those of the
			// old version.
			return append(commonConditions(rnd, t, window), degradeNew(always, 1.4*t.failureRate, 1.4*t.slowRate)), 0
		}},
		bad("fails_at_once", func(rnd *rand.Rand, _ moveTraffic, _ time.Duration) (moveCondition, time.Duration) {
			return degradeNew(always, severity(rnd), 0), 0
		}),
		bad("slow_at_once", func(rnd *rand.Rand, _ moveTraffic, _ time.Duration) (moveCondition, time.Duration) {
			return degradeNew(always, 0, max(0.2, severity(rnd))), 0
		}),
		bad("later", func(rnd *rand.Rand, _ moveTraffic, window time.Duration) (moveCondition, time.Duration) {
			from := time.Duration((0.1 + 0.75*rnd.Float64()) * float64(window))
			return degradeNew(func(c moveCall) bool { return c.at >= from }, severity(rnd), 0), from
		}),
		bad("later_slow", func(rnd *rand.Rand, _ moveTraffic, window time.Duration) (moveCondition, time.Duration) {
			from := time.Duration((0.1 + 0.75*rnd.Float64()) * float64(window))
			return degradeNew(func(c moveCall) bool { return c.at >= from }, 0, max(0.2, severity(rnd))), from
		}),
		bad("under_load", func(rnd *rand.Rand, _ moveTraffic, _ time.Duration) (moveCondition, time.Duration) {
			limit := 0.1 + 0.8*rnd.Float64()
			return degradeNew(func(c moveCall) bool { return c.share >= limit }, severity(rnd), 0.3), -1
		}),
		bad("small_route", onRoute(3)),
		bad("tiny_route", onRoute(4)),
		bad("subtle", func(_ *rand.Rand, t moveTraffic, _ time.Duration) (moveCondition, time.Duration) {
			return degradeNew(always, 3*t.failureRate, 0), 0
		}),
	}
}
