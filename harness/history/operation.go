package history

import "corianderwood.example/corianderwood/pkg/config"

// Kind is the kind of an operation.
type Kind int

// Kinds of operations.
const (
	Edit          Kind = iota // edits a section
	ReadHead                  // reads the head
	ReadOperation             // reads the stored record of an edit
)

// Input holds the arguments of an operation.
type Input struct {
	Kind Kind
	// Section and BaseRevision are set for Edit only.
	Section      string
	BaseRevision uint64
	// OperationID is set for Edit and ReadOperation.
	OperationID string
}

// EditOutcome is the outcome of an Edit as reported to the client.
type EditOutcome int

// Outcomes of an Edit.
const (
	Accepted EditOutcome = iota
	Conflict             // the base revision is not the current section revision
	Refused              // the platform was unavailable; nothing was written
	Unknown              // the edit may have been written
)

// Output holds the result of an operation.
type Output struct {
	Outcome EditOutcome // of Edit
	// Revision, SectionRevision and Hash are those of an accepted edit or of the record
	// that ReadOperation returned. Found is false if ReadOperation found no record.
	Revision, SectionRevision uint64
	Hash                      string
	Found                     bool
	// CurrentRevision is the section revision that a conflict reports.
	CurrentRevision uint64
	// Head is the result of ReadHead.
	Head config.Head
}

// Operation is one entry of a history. Call and Return are the logical times of its start
// and its end, from a counter that all clients share.
type Operation struct {
	Client       int
	Input        Input
	Output       Output
	Call, Return int64
}
