package accept

import (
	"errors"
	"fmt"

	"corianderwood.example/corianderwood/pkg/platform"
)

// ErrOperationReused means that the operation id was already used for another edit.
var ErrOperationReused = errors.New("accept: the operation id was used for another edit; choose a new id")

// ConflictError means that the section was changed after the revision on which the edit
// is based. Nothing was written.
type ConflictError struct {
	Section       string
	Base, Current uint64 // section revisions; 0 if the section does not exist
}

// Error returns a message with both revisions and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("accept: section %s is at revision %d, but the edit is based on %d; get the section and edit revision %d",
		e.Section, e.Current, e.Base, e.Current)
}

// UnknownOutcomeError means that the edit may have been applied or may still be
// applied. It matches platform.ErrUnknownOutcome.
type UnknownOutcomeError struct {
	OperationID string
	Cause       error
}

// Error returns a message with the operation id and the remedy.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("accept: the outcome of the edit is unknown; read back operation %s or repeat the edit under the same id (%v)",
		e.OperationID, e.Cause)
}

// Unwrap returns platform.ErrUnknownOutcome.
func (e *UnknownOutcomeError) Unwrap() error { return platform.ErrUnknownOutcome }

// UnavailableError means that the platform was unavailable and this request wrote no
// row. It may have stored the section body, which has no effect without the head. An
// earlier request with the same operation id may have been applied. The error matches
// platform.ErrUnavailable.
type UnavailableError struct{ Cause error }

// Error returns a message with the cause and the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("accept: the platform is unavailable and this request wrote nothing; try again later (%v)", e.Cause)
}

// Unwrap returns platform.ErrUnavailable.
func (e *UnavailableError) Unwrap() error { return platform.ErrUnavailable }
