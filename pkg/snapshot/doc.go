// Package snapshot holds the configuration in force at a node: an immutable, validated
// Snapshot with a route index, and a Store that replaces the snapshot, only by one of a
// higher revision.
package snapshot
