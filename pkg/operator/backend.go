package operator

import "context"

// Backend is what the API needs from the node. All methods may be called from any
// goroutine. Errors that are a *Problem reach the operator as they are; any other
// error becomes a problem of kind internal.
type Backend interface {
	// Status returns the state of the node.
	Status() Status
	// Sections lists the sections of the revision in force.
	Sections() []SectionSummary
	// Section returns the newest accepted section, from the platform if it answers.
	Section(ctx context.Context, name string) (SectionResponse, error)
	// Edit accepts or refuses an edit as a whole. The team is the certificate's.
	Edit(ctx context.Context, team string, edit Edit) (EditResponse, error)
	// Operation returns what became of an earlier edit.
	Operation(ctx context.Context, id string) (EditResponse, error)
	// Moves lists the moves of the revision in force.
	Moves() []MoveSummary
	// Move returns the record of one move.
	Move(ctx context.Context, id string) (MoveRecord, error)
	// Nodes lists the members that the node knows.
	Nodes() []NodeSummary
	// Counters returns the counters of refusals and retries by reason.
	Counters() ([]Counter, error)
}
