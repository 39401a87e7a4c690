// Package rollout decides which share of the traffic a new version of a service gets,
// and whether the version takes over or is rolled back. It performs no I/O.
package rollout
