package history

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"

	"corianderwood.example/corianderwood/pkg/accept"
	"corianderwood.example/corianderwood/pkg/platform"
)

// Recorder runs operations on acceptors and records them. It may be used by several
// goroutines at once.
type Recorder struct {
	counter    atomic.Int64 // logical clock of Operation.Call and Return
	mu         sync.Mutex   // guards operations and unexpected
	operations []Operation
	unexpected []error
}

func (r *Recorder) record(o Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, o)
}

// Edit runs and records one edit. An edit with an unknown outcome gets the latest possible
// return time, because it may take effect at any later time. An error that the injected
// faults do not explain is kept for Unexpected instead of being recorded; the returned
// outcome is then Refused.
func (r *Recorder) Edit(ctx context.Context, client int, a *accept.Acceptor, request accept.EditRequest) Output {
	o := Operation{Client: client, Input: Input{Kind: Edit, Section: request.Section.Name, BaseRevision: request.BaseRevision, OperationID: request.OperationID}}
	o.Call = r.counter.Add(1)
	result, err := a.Edit(ctx, request)
	o.Return = r.counter.Add(1)
	var conflict *accept.ConflictError
	switch {
	case err == nil:
		o.Output = Output{Outcome: Accepted, Revision: result.Revision, SectionRevision: result.SectionRevision, Hash: result.Hash}
	case errors.As(err, &conflict):
		o.Output = Output{Outcome: Conflict, CurrentRevision: conflict.Current}
	case errors.Is(err, platform.ErrUnknownOutcome):
		o.Output, o.Return = Output{Outcome: Unknown}, math.MaxInt64
	case errors.Is(err, platform.ErrUnavailable):
		o.Output = Output{Outcome: Refused}
	default:
		r.mu.Lock()
		r.unexpected = append(r.unexpected, fmt.Errorf("edit %s: %w", request.OperationID, err))
		r.mu.Unlock()
		return Output{Outcome: Refused}
	}
	r.record(o)
	return o.Output
}

// ReadHead reads the head and records the read. It returns false, and records nothing, if
// the read failed.
func (r *Recorder) ReadHead(ctx context.Context, client int, a *accept.Acceptor) (Output, bool) {
	o := Operation{Client: client, Input: Input{Kind: ReadHead}, Call: r.counter.Add(1)}
	head, _, err := a.ReadHead(ctx)
	o.Return = r.counter.Add(1)
	if err != nil {
		return Output{}, false
	}
	o.Output = Output{Head: head}
	r.record(o)
	return o.Output, true
}

// ReadOperation looks up the stored record of an edit and records the read. It returns
// false, and records nothing, if the read failed.
func (r *Recorder) ReadOperation(ctx context.Context, client int, a *accept.Acceptor, id string) (Output, bool) {
	o := Operation{Client: client, Input: Input{Kind: ReadOperation, OperationID: id}, Call: r.counter.Add(1)}
	result, found, err := a.Operation(ctx, id)
	o.Return = r.counter.Add(1)
	if err != nil {
		return Output{}, false
	}
	o.Output = Output{Found: found, Revision: result.Revision, SectionRevision: result.SectionRevision, Hash: result.Hash}
	r.record(o)
	return o.Output, true
}

// History returns a copy of the recorded operations in the order of their completion.
func (r *Recorder) History() []Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Operation{}, r.operations...)
}

// Unexpected returns the joined errors of edits other than a conflict, an unknown outcome
// or an unavailable platform.
func (r *Recorder) Unexpected() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.unexpected...)
}
