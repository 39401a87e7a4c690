package ledger

import (
	"time"

	"corianderwood.example/corianderwood/pkg/reason"
)

type state uint8

const (
	running state = iota
	finished
	fenced
)

// entry is the record of one call id. The ledger's mutex guards it.
type entry struct {
	state    state
	ran      reason.Ran
	response *Outcome      // the stored response, or nil
	done     chan struct{} // created by the first waiting query, closed by Finish
	expires  time.Time
}

func (e *entry) report() Report {
	switch e.state {
	case running:
		return Report{Ran: reason.RanUnknown, Running: true}
	case fenced:
		return Report{Ran: reason.RanNo}
	default:
		return Report{Ran: e.ran, Outcome: e.response}
	}
}
