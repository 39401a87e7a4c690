package history

import (
	"fmt"

	"corianderwood.example/corianderwood/pkg/accept"
)

// Resolve replaces the unknown outcomes of a history by what the platform stored. lookUp
// returns the stored record of an operation id; it must be called after all delayed writes
// have been applied. An unknown edit with a record becomes accepted, at any time after its
// call; one without a record is removed. Resolve returns an ErrViolation if an edit that
// was refused or got a conflict has a record, unless another request with the same id was
// accepted or has an unknown outcome.
func Resolve(history []Operation, lookUp func(id string) (accept.Result, bool, error)) ([]Operation, error) {
	mayBeRecorded := map[string]bool{}
	for _, o := range history {
		if o.Input.Kind == Edit && (o.Output.Outcome == Unknown || o.Output.Outcome == Accepted) {
			mayBeRecorded[o.Input.OperationID] = true
		}
	}
	var resolved []Operation
	for _, o := range history {
		if o.Input.Kind != Edit || o.Output.Outcome == Accepted {
			resolved = append(resolved, o)
			continue
		}
		result, found, err := lookUp(o.Input.OperationID)
		if err != nil {
			return nil, err
		}
		switch {
		case o.Output.Outcome == Unknown && found:
			o.Output = Output{Outcome: Accepted, Revision: result.Revision, SectionRevision: result.SectionRevision, Hash: result.Hash}
			resolved = append(resolved, o)
		case o.Output.Outcome == Unknown:
		case found && !mayBeRecorded[o.Input.OperationID]:
			return nil, fmt.Errorf("%w: operation %s was reported as not written but has a record with revision %d", ErrViolation, o.Input.OperationID, result.Revision)
		default:
			resolved = append(resolved, o)
		}
	}
	return resolved, nil
}
