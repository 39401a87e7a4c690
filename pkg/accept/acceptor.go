package accept

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/platform"
)

// Acceptor validates and commits edits of the configuration. All methods may be called
// from any goroutine and on any number of nodes at once; edits are ordered by
// conditional writes of the head row.
type Acceptor struct {
	table   platform.Table
	objects platform.ObjectStore
	opts    Options
	bodies  bodyCache
	// randomMu guards opts.Random.
	randomMu sync.Mutex
}

// New returns an acceptor that uses the given table and object store.
func New(t platform.Table, o platform.ObjectStore, opts Options) *Acceptor {
	return &Acceptor{table: t, objects: o, opts: opts.withDefaults(), bodies: bodyCache{entries: map[string]cachedBody{}}}
}

// ReadHead reads the head row by a strongly consistent read. The second result is false
// if no edit has been accepted yet. Errors match platform.ErrUnavailable or report that
// the row cannot be decoded.
func (a *Acceptor) ReadHead(ctx context.Context) (config.Head, bool, error) {
	head, row, err := a.readHead(ctx)
	return head, row > 0, err
}

// readHead also returns the revision of the head row, 0 if there is none.
func (a *Acceptor) readHead(ctx context.Context) (config.Head, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.CallTimeout)
	defer cancel()
	row, ok, err := a.table.Get(ctx, HeadKey)
	if err != nil || !ok {
		return config.Head{}, 0, err
	}
	head, err := config.DecodeHead(row.Value)
	if err != nil {
		return config.Head{}, 0, err
	}
	return head, row.Revision, nil
}

// ReadBody reads the section body with the given hash from the object store. Errors
// match platform.ErrUnavailable, ErrNotFound or ErrTooLarge, or report that the stored
// body has another hash.
func (a *Acceptor) ReadBody(ctx context.Context, hash string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.CallTimeout)
	defer cancel()
	body, err := a.objects.Get(ctx, SectionKey(hash), config.MaxSectionBytes)
	if err != nil {
		return nil, err
	}
	if got := config.HashBody(body); got != hash {
		return nil, fmt.Errorf("accept: object %s was rejected: its content has hash %s", SectionKey(hash), got)
	}
	return body, nil
}

// Operation reads the record of an operation. The second result is false if the
// operation has not been applied yet; an edit with this id that is still in progress
// may be applied later. Errors match platform.ErrUnavailable or report that the record
// cannot be decoded.
func (a *Acceptor) Operation(ctx context.Context, id string) (Result, bool, error) {
	record, ok, err := a.readOperation(ctx, id)
	if err != nil || !ok {
		return Result{}, false, err
	}
	return record.result(id), true, nil
}

func (a *Acceptor) readOperation(ctx context.Context, id string) (operationRecord, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.CallTimeout)
	defer cancel()
	row, ok, err := a.table.Get(ctx, OperationKey(id))
	if err != nil || !ok {
		return operationRecord{}, false, err
	}
	record, err := decodeOperation(id, row.Value)
	return record, err == nil, err
}

// Edit applies an edit. It returns a *ConflictError if the section was changed since
// the base revision, config Problems if the edit is invalid or not permitted,
// ErrOperationReused, an *UnavailableError if this request wrote no row, or an
// *UnknownOutcomeError if the edit may have been applied. If the edit was already applied with the same operation
// id, Edit returns the recorded result.
func (a *Acceptor) Edit(ctx context.Context, r EditRequest) (Result, error) {
	e, err := newEdit(a, r)
	if err != nil {
		editsTotal.WithLabelValues(resultInvalid).Inc()
		return Result{}, err
	}
	limited, cancel := context.WithTimeout(ctx, a.opts.EditTimeout)
	defer cancel()
	result, err := e.run(limited)
	editsTotal.WithLabelValues(resultLabel(e.repeated, err)).Inc()
	if err != nil {
		return Result{}, err
	}
	result.AckedBy = a.replicate(ctx, e)
	return result, nil
}

func (a *Acceptor) replicate(ctx context.Context, e *edit) []string {
	if a.opts.Replicate == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.opts.ReplicateTimeout)
	defer cancel()
	head, body := e.head, e.body
	if e.repeated {
		// The head that the earlier request committed is not known. The current head,
		// which is the same or newer, is replicated instead.
		var err error
		if head, _, err = a.readHead(ctx); err != nil || head.Revision == 0 {
			return nil
		}
		if body, err = a.body(ctx, head.Sections[e.request.Section.Name].Hash); err != nil {
			return nil
		}
	}
	return a.opts.Replicate(ctx, head, map[string][]byte{config.HashBody(body): body})
}

// backOff waits before the next attempt and reports whether ctx is still valid.
func (a *Acceptor) backOff(ctx context.Context, attempt int) bool {
	limit := retryMax
	if attempt < 6 {
		limit = min(retryMax, retryBase<<attempt)
	}
	a.randomMu.Lock()
	wait := time.Duration(a.opts.Random.Int64N(int64(limit)))
	a.randomMu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func resultLabel(repeated bool, err error) string {
	var conflict *ConflictError
	switch {
	case err == nil && repeated:
		return resultRepeated
	case err == nil:
		return resultAccepted
	case errors.As(err, &conflict):
		return resultConflict
	case errors.Is(err, ErrOperationReused):
		return resultReused
	case errors.Is(err, platform.ErrUnknownOutcome):
		return resultUnknown
	case errors.Is(err, platform.ErrUnavailable):
		return resultUnavailable
	default:
		return resultInvalid
	}
}
