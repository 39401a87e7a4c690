package fake

import (
	"strings"
	"time"
)

// Behavior is how an Upstream answers. Paths are matched by prefix; the longest
// match wins.
type Behavior struct {
	// LatencyMS is the time that a request takes, in milliseconds.
	LatencyMS float64 `json:"latency_ms"`
	// JitterMS is added to the latency, scaled by a uniform random number.
	JitterMS float64 `json:"jitter_ms,omitempty"`
	// RouteLatencyMS replaces the latency for some paths.
	RouteLatencyMS map[string]float64 `json:"route_latency_ms,omitempty"`
	// FailureRate is the share of requests answered with status 500.
	FailureRate float64 `json:"failure_rate,omitempty"`
	// RouteFailureRate replaces the failure rate for some paths.
	RouteFailureRate map[string]float64 `json:"route_failure_rate,omitempty"`
	// BodyBytes is the size of an answer; the query parameter bytes overrides it.
	BodyBytes int `json:"body_bytes,omitempty"`
	// Frozen holds back all answers until it is unset.
	Frozen bool `json:"frozen,omitempty"`
	// Silent takes requests without executing or answering them.
	Silent bool `json:"silent,omitempty"`
	// Unhealthy and Load make the health and load endpoints mislead.
	Unhealthy bool `json:"unhealthy,omitempty"`
	Load      *int `json:"load,omitempty"`
}

func (b Behavior) latency(path string, random float64) time.Duration {
	ms := b.LatencyMS
	if v, ok := longest(b.RouteLatencyMS, path); ok {
		ms = v
	}
	return time.Duration((ms + random*b.JitterMS) * float64(time.Millisecond))
}

func (b Behavior) failureRate(path string) float64 {
	if v, ok := longest(b.RouteFailureRate, path); ok {
		return v
	}
	return b.FailureRate
}

func longest(byPrefix map[string]float64, path string) (value float64, ok bool) {
	best := -1
	for prefix, v := range byPrefix {
		if strings.HasPrefix(path, prefix) && len(prefix) > best {
			best, value, ok = len(prefix), v, true
		}
	}
	return value, ok
}
