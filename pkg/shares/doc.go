// Package shares decides which part of each account limit a node may use, while the set of nodes that
// have a part, the members, changes. It performs no I/O. Members change in epochs, which are rows of the
// store; docs/design/account-limits.md has the proof that the parts in use never add up to more than 1.
package shares
