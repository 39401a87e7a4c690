package downlink

import "time"

// Transfer is an announced large request.
type Transfer struct {
	Bytes int
	// SoftDeadline is when the response is due.
	SoftDeadline time.Time
	// ServiceTime is the expected time that the server takes for the request.
	ServiceTime time.Duration

	state   state
	arrives time.Time // when a granted transfer should have arrived
	expires time.Time // when a granted transfer gives its place back
}

// state is the state of a transfer in a Schedule.
type state int

const (
	none state = iota // not announced, refused, released or expired
	waiting
	granted
)

// latestArrival returns when the request must have arrived for its response to be on time.
func (t *Transfer) latestArrival() time.Time { return t.SoftDeadline.Add(-t.ServiceTime) }
