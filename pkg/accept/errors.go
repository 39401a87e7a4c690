package accept

import (
	"errors"
	"fmt"

	"corianderwood.example/corianderwood/pkg/platform"
)

// ErrOperationReused means that the operation id belongs to another edit.
var ErrOperationReused = errors.New("accept: the operation id was used for another edit; choose a new id")

// ConflictError means that the section was changed since the revision that the edit
// starts from. Nothing was written.
type ConflictError struct {
	Section       string
	Base, Current uint64 // section revisions; 0 means that the section does not exist
}

// Error names both revisions and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("accept: section %s is at revision %d, the edit starts from %d; get the section and edit revision %d",
		e.Section, e.Current, e.Base, e.Current)
}

// UnknownOutcomeError means that the edit may have been applied or may still be. It matches
// platform.ErrUnknownOutcome.
type UnknownOutcomeError struct {
	OperationID string
	Cause       error
}

// Error names the operation and the remedy.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("accept: the outcome of the edit is unknown; read back operation %s or repeat the edit under the same id (%v)",
		e.OperationID, e.Cause)
}

// Unwrap returns platform.ErrUnknownOutcome.
func (e *UnknownOutcomeError) Unwrap() error { return platform.ErrUnknownOutcome }

// UnavailableError means that the platform did not take the edit: this request wrote
// nothing, though an earlier one under the same operation id may have. It matches
// platform.ErrUnavailable.
type UnavailableError struct{ Cause error }

// Error names the cause and the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("accept: the platform did not take the edit and this request wrote nothing; try again later (%v)", e.Cause)
}

// Unwrap returns platform.ErrUnavailable.
func (e *UnavailableError) Unwrap() error { return platform.ErrUnavailable }
