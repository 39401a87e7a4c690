package platform

// counterBits is the size of the store's version counter within a revision. It lasts for 10
// years at 3,000 transactions a second, and leaves room for 16 million restores of the store.
const counterBits = 40

// MaxCounter is the largest version of the store that a revision can hold.
const MaxCounter = 1<<counterBits - 1

// Revision returns the revision of a row or table that the store gave the version counter in
// the given era. The era increases each time the store was restored from an older copy, after
// which it gives out the same versions again. Revisions of a later era are therefore greater
// than all those of an earlier one.
func Revision(era, counter uint64) uint64 { return era<<counterBits | counter&MaxCounter }

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> counterBits }

// CounterOf returns the version of the store in a revision.
func CounterOf(revision uint64) uint64 { return revision & MaxCounter }
