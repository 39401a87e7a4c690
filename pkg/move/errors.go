package move

import (
	"errors"
	"fmt"
)

// Error kinds of this package, matched with errors.Is.
var (
	// ErrReport means that a report from another node is invalid and was dropped.
	ErrReport = errors.New("move: invalid evidence report")
	// ErrPending means that it is not known whether the outcome is recorded. The write
	// must be repeated later.
	ErrPending = errors.New("move: outcome is not known to be recorded; write it again later")
	// ErrRecord means that the stored row is not a valid outcome of the move.
	ErrRecord = errors.New("move: stored outcome row is invalid")
)

func reportError(format string, args ...any) error {
	return fmt.Errorf("%w: report %s", ErrReport, fmt.Sprintf(format, args...))
}
