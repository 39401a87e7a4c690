package admission

import (
	"math"
	"time"
)

// machineSlowness is how long work takes on the server's machine now, relative to the usual, as
// the server says in its responses. Machines that run other programs as well turn slow for parts
// of a second, which a mean of the service times shows too late and for too long.
//
// A server may say anything, and figures that are too low would attract requests. They count only
// while they foretell the service times better than the mean of these does: a figure that never
// changes foretells nothing, and neither does one that changes at random. It takes the time as an
// argument, performs no I/O and is not safe for concurrent use. The zero value knows no figure and
// trusts none.
type machineSlowness struct {
	excess     float64 // of the last figure over 1
	observedAt time.Time
	// times and normalTimes are the mean logarithms of the service times, and of the service times
	// divided by the figures.
	times, normalTimes float64
	count              float64
	// gain is by how much closer to the service times the figures were than their mean, as a mean
	// of the logarithms' differences, and judged the number of figures other than the usual
	// one.
	gain, judged float64
}

// Observe records the service time of a request and the figure of its response, 0 if that has
// none. It returns the service time as it would have been on the machine as usual.
func (s *machineSlowness) Observe(now time.Time, took time.Duration, figure float64) time.Duration {
	if figure <= 0 || took <= 0 {
		return took
	}
	figure = min(max(figure, minSlowness), maxSlowness)
	actual, normal := math.Log(took.Seconds()), math.Log(took.Seconds()/figure)
	if s.count > 0 && math.Abs(math.Log(figure)) > usualFigureRange {
		gain := math.Abs(actual-s.times) - math.Abs(normal-s.normalTimes)
		s.judged++
		s.gain += max(1/s.judged, figureGainWeight) * (gain - s.gain)
	}
	s.count++
	weight := max(1/s.count, figureTimeWeight)
	s.times += weight * (actual - s.times)
	s.normalTimes += weight * (normal - s.normalTimes)
	s.excess, s.observedAt = figure-1, now
	if !s.trusted() {
		return took
	}
	return time.Duration(took.Seconds() / figure * float64(time.Second))
}

// At returns the slowness of the machine now; 1 is the usual one. It decays to that when no
// response brings a figure.
func (s *machineSlowness) At(now time.Time) float64 {
	if !s.trusted() {
		return 1
	}
	return 1 + s.excess*math.Exp(-max(now.Sub(s.observedAt), 0).Seconds()/slownessDecayTime.Seconds())
}

func (s *machineSlowness) trusted() bool {
	return s.judged >= minJudgedFigures && s.gain > minFigureGain
}

// doubted reports whether the server has named enough figures other than the usual one for them to be
// known as false.
func (s *machineSlowness) doubted() bool { return s.judged >= maxUnprovenFigures && !s.trusted() }

// stretch returns the service time on the machine as it is now.
func (s *machineSlowness) stretch(now time.Time, d time.Duration) time.Duration {
	return time.Duration(s.At(now) * float64(d))
}
