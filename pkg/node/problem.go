package node

import (
	"errors"

	"corianderwood.example/corianderwood/pkg/accept"
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/operator"
	"corianderwood.example/corianderwood/pkg/platform"
)

// problemOf converts an error of the acceptor into the problem that the operator receives.
// Errors without a corresponding problem are returned unchanged.
func problemOf(err error) error {
	if err == nil {
		return nil
	}
	var conflict *accept.ConflictError
	var unknown *accept.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict):
		return &operator.Problem{Kind: operator.KindConflict, Section: conflict.Section, Message: err.Error(), CurrentRevision: conflict.Current}
	case errors.As(err, &unknown):
		return &operator.Problem{Kind: operator.KindUnknown, Message: err.Error(), Remedy: "run corianderctl operation " + unknown.OperationID}
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrUnknownOutcome):
		return &operator.Problem{Kind: operator.KindUnavailable, Message: err.Error()}
	case errors.Is(err, accept.ErrOperationReused):
		return &operator.Problem{Kind: operator.KindInvalid, Message: err.Error()}
	}
	if problems := config.Problems(err); len(problems) > 0 {
		first := problems[0]
		kind := operator.KindInvalid
		if first.Forbidden {
			kind = operator.KindForbidden
		}
		return &operator.Problem{Kind: kind, Section: first.Section, Field: first.Field, Message: err.Error()}
	}
	return err
}
