package soak

import (
	"slices"
	"time"
)

// window counts events that begin and end within any time of the given length.
type window struct {
	length time.Duration
	begins []time.Time
}

// add adds an event and returns the number of those that began at most length before the end of this
// one. Events are added in the order of their ends.
func (w *window) add(begin, end time.Time) int {
	w.begins = slices.DeleteFunc(append(w.begins, begin), func(b time.Time) bool { return end.Sub(b) >= w.length })
	return len(w.begins)
}
