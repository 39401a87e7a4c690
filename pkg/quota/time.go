package quota

import "time"

// Time is a point in time since the start of the machine, time in which it was suspended
// included (CLOCK_BOOTTIME). Times of different machines are not comparable.
type Time int64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }
