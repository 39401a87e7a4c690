package event

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// LimitedLog writes events at a limited rate. A line that follows omitted ones includes
// their number. It is safe for concurrent use.
type LimitedLog struct {
	limiter *rate.Limiter
	omitted atomic.Int64
}

// NewLimitedLog returns a log that writes at most the given numbers of lines per second and
// at once.
func NewLimitedLog(perSecond, burst int) *LimitedLog {
	return &LimitedLog{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Write writes or omits the event. The arguments after e are alternating keys and values.
func (l *LimitedLog) Write(e Event, keysAndValues ...any) {
	if !l.limiter.Allow() {
		l.omitted.Add(1)
		return
	}
	if n := l.omitted.Swap(0); n > 0 {
		keysAndValues = append(keysAndValues, "omittedBefore", n)
	}
	e.log(nil, keysAndValues)
}
