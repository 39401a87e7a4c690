// Package history runs concurrent edits and reads of the configuration, records them, and
// checks the recorded history for linearizability, per section and for the head.
package history
