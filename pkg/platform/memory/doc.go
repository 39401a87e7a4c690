// Package memory implements the platform's services in memory, with fault injection for
// tests and benchmarks.
package memory
