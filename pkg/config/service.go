package config

// Service describes a set of upstreams that serve the same calls.
type Service struct {
	Name string `json:"name"`
	// Version serves the traffic while no move runs.
	Version string `json:"version"`
	Limits  Limits `json:"limits"`
	Retry   Retry  `json:"retry"`
	// TimeoutMS limits a call including its retries, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
	// AttemptTimeoutMS limits the time until the response to one attempt of a
	// repeatable call begins, in milliseconds.
	AttemptTimeoutMS int `json:"attempt_timeout_ms"`
	// SlowMS is the latency in milliseconds above which a response counts as slow.
	SlowMS int   `json:"slow_ms"`
	Move   *Move `json:"move,omitempty"`
}
