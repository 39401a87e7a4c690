// Package fake holds small stand-ins for the platform and for upstreams. They
// are used by tests, the demo and benchmarks only and are never shipped.
package fake
