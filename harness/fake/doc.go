// Package fake implements in-memory fakes of the platform and of upstream servers for
// tests, the demo and benchmarks. It is not part of any release.
package fake
