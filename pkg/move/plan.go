package move

import (
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// Plan is the accepted plan of a service's move. It is immutable.
type Plan struct {
	ID, Service, From, To string
	// AcceptedAt and FinishBy are the start and the deadline of the move.
	AcceptedAt, FinishBy time.Time
	// Withdraw is set by an operator to roll the move back.
	Withdraw bool
}

// PlanOf returns the plan of the service's move. The second result is false if the
// service has no move.
func PlanOf(s config.Service) (Plan, bool) {
	if s.Move == nil {
		return Plan{}, false
	}
	return Plan{
		ID:         s.Move.ID,
		Service:    s.Name,
		From:       s.Version,
		To:         s.Move.To,
		AcceptedAt: s.Move.AcceptedAt,
		FinishBy:   s.Move.FinishBy,
		Withdraw:   s.Move.Withdraw,
	}, true
}

// window returns the time from acceptance to the deadline, or 0 if the acceptance is
// not known or not before the deadline.
func (p Plan) window() time.Duration {
	if p.AcceptedAt.IsZero() || !p.FinishBy.After(p.AcceptedAt) {
		return 0
	}
	return p.FinishBy.Sub(p.AcceptedAt)
}

// at returns the time at the given fraction of the window.
func (p Plan) at(fraction float64) time.Time {
	return p.AcceptedAt.Add(time.Duration(fraction * float64(p.window())))
}
