package fake

import (
	"strings"
	"time"
)

// Behavior configures how an Upstream responds. The keys of the maps are path prefixes;
// the longest matching prefix applies.
type Behavior struct {
	// LatencyMS is the processing time of a request in milliseconds.
	LatencyMS float64 `json:"latency_ms"`
	// JitterMS is the upper bound of a uniformly distributed addition to the latency, in
	// milliseconds.
	JitterMS float64 `json:"jitter_ms,omitempty"`
	// RouteLatencyMS overrides LatencyMS for the given path prefixes.
	RouteLatencyMS map[string]float64 `json:"route_latency_ms,omitempty"`
	// FailureRate is the fraction of requests that fail with status 500, from 0 to 1.
	FailureRate float64 `json:"failure_rate,omitempty"`
	// RouteFailureRate overrides FailureRate for the given path prefixes.
	RouteFailureRate map[string]float64 `json:"route_failure_rate,omitempty"`
	// BodyBytes is the size of a response body; the query parameter bytes overrides it.
	BodyBytes int `json:"body_bytes,omitempty"`
	// Frozen delays all responses until it is unset.
	Frozen bool `json:"frozen,omitempty"`
	// Unresponsive accepts requests without executing them or responding.
	Unresponsive bool `json:"silent,omitempty"`
	// Unhealthy makes the health endpoint respond with status 503.
	Unhealthy bool `json:"unhealthy,omitempty"`
	// Load, if set, replaces the number of running requests that the load endpoint reports.
	Load *int `json:"load,omitempty"`
}

func (b Behavior) latency(path string, random float64) time.Duration {
	ms := b.LatencyMS
	if v, ok := longestMatch(b.RouteLatencyMS, path); ok {
		ms = v
	}
	return time.Duration((ms + random*b.JitterMS) * float64(time.Millisecond))
}

func (b Behavior) failureRate(path string) float64 {
	if v, ok := longestMatch(b.RouteFailureRate, path); ok {
		return v
	}
	return b.FailureRate
}

// longestMatch returns the value of the longest prefix of path, and false if none matches.
func longestMatch(byPrefix map[string]float64, path string) (value float64, ok bool) {
	best := -1
	for prefix, v := range byPrefix {
		if strings.HasPrefix(path, prefix) && len(prefix) > best {
			best, value, ok = len(prefix), v, true
		}
	}
	return value, ok
}
