// Package freshness decides whether a node may still rely on its copy of a table: it must have
// been current less than a lease ago. It performs no I/O and takes the clock as a function,
// which must also run while the instance is frozen.
package freshness
