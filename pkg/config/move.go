package config

import "time"

// Move is a request to shift the traffic of a service gradually to another version.
type Move struct {
	// ID is unique among all moves ever made; it is part of the key of the outcome
	// record.
	ID string `json:"id"`
	// To is the version that serves the traffic after the move.
	To string `json:"to"`
	// FinishBy is the deadline of the move (RFC 3339).
	FinishBy time.Time `json:"finish_by"`
	// Withdraw is set by an operator to roll the move back.
	Withdraw bool `json:"withdraw,omitempty"`
	// AcceptedAt is set by the accepting node when the move is first accepted.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
}
