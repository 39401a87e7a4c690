// Package quota divides the limits of client accounts among the nodes of a mesh. Node holds the
// tokens of one node, Coordinator those that it hands out for a part of the limits. Both are pure
// code: they take the time and messages as arguments, and perform no I/O.
// docs/design/account-limits.md states the design and the proof of the bound.
package quota
