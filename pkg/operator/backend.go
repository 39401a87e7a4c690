package operator

import "context"

// Backend provides the node's functions to the API. Its methods must be safe for
// concurrent use. An error that is a *Problem is sent to the operator unchanged; any other
// error is sent as a problem of kind internal.
type Backend interface {
	// Status returns the state of the node.
	Status() Status
	// Sections lists the sections of the newest complete revision, which may not be in
	// force yet, or was rejected.
	Sections() []SectionSummary
	// Section returns the newest accepted section, from the platform if it is available.
	Section(ctx context.Context, name string) (SectionResponse, error)
	// Edit accepts or rejects an edit as a whole. team is the team named in the
	// operator's certificate.
	Edit(ctx context.Context, team string, edit Edit) (EditResponse, error)
	// Operation returns the result of an earlier edit.
	Operation(ctx context.Context, id string) (EditResponse, error)
	// Moves lists the moves of the revision in force.
	Moves() []MoveSummary
	// Move returns the record of one move.
	Move(ctx context.Context, id string) (MoveRecord, error)
	// Nodes lists the members that the node knows.
	Nodes() []NodeSummary
	// Counters returns the counters of first attempts, refused requests and retries.
	Counters() ([]Counter, error)
}
