package move

import (
	"fmt"
	"time"
)

// Results of a move.
const (
	ResultDone       = "done"
	ResultRolledBack = "taken_back"
)

// Reasons for a rollback.
const (
	ReasonFailures   = "failures"
	ReasonSlow       = "slow"
	ReasonNoUpstream = "no-upstream"
	ReasonWithdrawn  = "withdrawn"
)

// Outcome is the record of a finished move, stored as the value of the row `move/<id>`.
type Outcome struct {
	Move   string `cbor:"1,keyasint"`
	Result string `cbor:"2,keyasint"`
	// Reason is set for a rollback only.
	Reason    string    `cbor:"3,keyasint,omitempty"`
	Decider   string    `cbor:"4,keyasint"`
	DecidedAt time.Time `cbor:"5,keyasint"`
	// Routes holds the decider's evidence at the time of the decision, by route name.
	Routes []RouteEvidence `cbor:"6,keyasint,omitempty"`
	// Route is the route with the strongest evidence. It is set for the reasons
	// failures and slow.
	Route string `cbor:"7,keyasint,omitempty"`
}

// RouteEvidence is the evidence on one route.
type RouteEvidence struct {
	Route string `cbor:"1,keyasint"`
	Old   Counts `cbor:"2,keyasint"`
	New   Counts `cbor:"3,keyasint"`
	// FailureE and SlowE are the e-values against the new version. If the version is
	// good, one ever reaches x with probability at most 1/x by the concurrent test and
	// 1/(19x) by the test against the baseline, which is scaled to its smaller fraction
	// of the false-alarm rate.
	FailureE float64 `cbor:"4,keyasint,omitempty"`
	SlowE    float64 `cbor:"5,keyasint,omitempty"`
}

// State returns the move state that corresponds to the outcome.
func (o Outcome) State() State {
	return State{Move: o.Move, RolledBack: o.Result == ResultRolledBack, Reason: o.Reason, Done: o.Result == ResultDone}
}

func decodeOutcome(id string, data []byte) (Outcome, error) {
	var o Outcome
	if len(data) > maxOutcomeBytes {
		return o, fmt.Errorf("%w: row move/%s is larger than %d bytes", ErrRecord, id, maxOutcomeBytes)
	}
	if err := decoding.Unmarshal(data, &o); err != nil {
		return o, fmt.Errorf("%w: row move/%s: %w", ErrRecord, id, err)
	}
	if o.Move != id || o.Result != ResultDone && o.Result != ResultRolledBack {
		return o, fmt.Errorf("%w: row move/%s contains move %q with result %q", ErrRecord, id, o.Move, o.Result)
	}
	return o, nil
}
