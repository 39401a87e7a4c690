package retry

import (
	"math/rand/v2"
	"time"
)

// backoffWidth returns the upper limit of the random wait after the given number of
// attempts: base, doubled with every further attempt, at most limit.
func backoffWidth(base, limit time.Duration, attempt int) time.Duration {
	width := base
	for i := 1; i < attempt && width < limit; i++ {
		width *= 2
	}
	return min(width, limit)
}

// fullJitter returns a random wait, uniform in [0, width). Full jitter spreads the
// retries of callers that failed together evenly over the interval.
func fullJitter(rnd *rand.Rand, width time.Duration) time.Duration {
	if width <= 0 {
		return 0
	}
	return time.Duration(rnd.Int64N(int64(width)))
}
