package accept

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/platform"
	"github.com/fxamacker/cbor/v2"
)

// edit is the state of one call of Edit. It is owned by one goroutine.
type edit struct {
	acceptor    *Acceptor
	request     EditRequest
	fingerprint string
	// pending means that a transaction on revision pendingRow of the head row may have
	// been applied or may still be applied. It cannot be applied any more once the head
	// row has a higher revision.
	pending    bool
	pendingRow uint64
	// now is the time of acceptance. It is the same in all attempts, so that they write
	// the same body and validate the same document with the same result.
	now time.Time
	// storedHash is the hash of the body that is known to be in the object store.
	storedHash string
	body       []byte
	// head is the head that the last attempt tried to commit.
	head config.Head
	// repeated means that the recorded operation was committed with another head, by an
	// earlier request or attempt.
	repeated bool
}

// retryError ends an attempt after which the edit may be retried.
type retryError struct {
	reason string
	cause  error
}

func (e *retryError) Error() string { return fmt.Sprintf("%s: %v", e.reason, e.cause) }
func (e *retryError) Unwrap() error { return e.cause }

func newEdit(a *Acceptor, r EditRequest) (*edit, error) {
	if !config.ValidName(r.OperationID) {
		return nil, config.Problem{Section: r.Section.Name, Message: fmt.Sprintf("%q is not a valid operation id", r.OperationID),
			Remedy: "use lower-case letters, digits, '-', '_' or '.'"}
	}
	fingerprint, err := r.fingerprint()
	if err != nil {
		return nil, config.Problem{Section: r.Section.Name, Message: err.Error(), Remedy: "correct the section"}
	}
	return &edit{acceptor: a, request: r, fingerprint: fingerprint, now: a.opts.Now()}, nil
}

// run repeats attempts until one has a definite result or ctx ends.
func (e *edit) run(ctx context.Context) (Result, error) {
	unavailable := 0
	for attempt := 0; ; attempt++ {
		result, err := e.attempt(ctx)
		var again *retryError
		if err == nil || !errors.As(err, &again) {
			return result, err
		}
		retriesTotal.WithLabelValues(again.reason).Inc()
		if again.reason == retryUnavailable {
			unavailable++
		} else {
			unavailable = 0
		}
		if !e.pending && unavailable >= maxUnavailableAttempts || !e.acceptor.backOff(ctx, attempt) {
			return Result{}, e.finalError(again.cause)
		}
	}
}

func (e *edit) finalError(cause error) error {
	if e.pending {
		return &UnknownOutcomeError{OperationID: e.request.OperationID, Cause: cause}
	}
	return &UnavailableError{Cause: cause}
}

// attempt makes one attempt based on the current head.
func (e *edit) attempt(ctx context.Context) (Result, error) {
	head, row, err := e.acceptor.readHead(ctx)
	if err != nil {
		return Result{}, &retryError{retryUnavailable, err}
	}
	if e.pending && row > e.pendingRow {
		if result, found, err := e.lookUp(ctx); err != nil || found {
			return result, err
		}
		e.pending = false
	}
	current := head.Sections[e.request.Section.Name].Revision
	if current != e.request.BaseRevision {
		return e.refuse(ctx, &ConflictError{Section: e.request.Section.Name, Base: e.request.BaseRevision, Current: current})
	}
	section, err := e.check(ctx, head)
	if err != nil {
		var again *retryError
		if errors.As(err, &again) {
			return Result{}, err
		}
		return e.refuse(ctx, err)
	}
	hash, err := e.storeBody(ctx, section)
	if err != nil {
		return Result{}, &retryError{retryUnavailable, err}
	}
	return e.commit(ctx, head, row, section.Team, hash)
}

// check validates the edit by applying it to the document of the head, and returns the
// edited section.
func (e *edit) check(ctx context.Context, head config.Head) (config.Section, error) {
	doc, err := e.acceptor.document(ctx, head)
	if err != nil {
		return config.Section{}, &retryError{retryUnavailable, err}
	}
	name := e.request.Section.Name
	outcomes := map[string]config.MoveResult{}
	if e.acceptor.opts.Outcome != nil {
		for _, id := range config.MoveIDs(doc.Sections[name], e.request.Section) {
			result, found, err := e.acceptor.opts.Outcome(ctx, id)
			if err != nil {
				return config.Section{}, &retryError{retryUnavailable, err}
			}
			if found {
				outcomes[id] = result
			}
		}
	}
	after, err := config.ApplyEdit(doc, e.request.Section, e.request.Team, e.now, outcomes)
	if err != nil {
		return config.Section{}, err
	}
	return after.Sections[name], nil
}

// storeBody writes the section body to the object store. The write can safely be
// repeated because the key is the hash of the content.
func (e *edit) storeBody(ctx context.Context, section config.Section) (string, error) {
	body, err := config.EncodeSection(section)
	if err != nil {
		return "", err
	}
	hash := config.HashBody(body)
	e.body = body
	if e.storedHash == hash {
		return hash, nil
	}
	ctx, cancel := context.WithTimeout(ctx, e.acceptor.opts.CallTimeout)
	defer cancel()
	if err := e.acceptor.objects.Put(ctx, SectionKey(hash), body); err != nil {
		return "", err
	}
	e.storedHash = hash
	e.acceptor.bodies.put(hash, cachedBody{body: body, section: section})
	return hash, nil
}

// commit replaces the head and records the operation in one transaction.
func (e *edit) commit(ctx context.Context, head config.Head, row uint64, team, hash string) (Result, error) {
	name := e.request.Section.Name
	next := config.Head{Revision: head.Revision + 1, Sections: maps.Clone(head.Sections)}
	if next.Sections == nil {
		next.Sections = map[string]config.SectionRef{}
	}
	next.Sections[name] = config.SectionRef{Hash: hash, Revision: e.request.BaseRevision + 1, Team: team}
	record := operationRecord{Revision: next.Revision, Section: name, SectionRevision: e.request.BaseRevision + 1, Hash: hash,
		Fingerprint: e.fingerprint, Team: e.request.Team, AcceptedUnixMS: e.now.UnixMilli()}
	writes, err := e.transactionWrites(next, row, record)
	if err != nil {
		return Result{}, err
	}
	e.head = next
	err = e.transact(ctx, writes)
	switch {
	case err == nil:
		return record.result(e.request.OperationID), nil
	case errors.Is(err, platform.ErrUnknownOutcome):
		e.pending, e.pendingRow = true, max(e.pendingRow, row)
		return e.afterFailure(ctx, &retryError{retryUnknown, err})
	case errors.Is(err, platform.ErrConflict):
		return e.afterFailure(ctx, &retryError{retryHeadRace, err})
	default:
		return Result{}, &retryError{retryUnavailable, err}
	}
}

func (e *edit) transactionWrites(next config.Head, row uint64, record operationRecord) ([]platform.Write, error) {
	headValue, err := config.EncodeHead(next)
	if err != nil {
		return nil, err
	}
	recordValue, err := cbor.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("accept: encoding the record of operation %s: %w", e.request.OperationID, err)
	}
	headWrite := platform.Write{Key: HeadKey, Value: headValue, Condition: platform.IfRevision, Revision: row}
	if row == 0 {
		headWrite.Condition = platform.IfAbsent
	}
	return []platform.Write{
		{Key: OperationKey(e.request.OperationID), Value: recordValue, Condition: platform.IfAbsent},
		headWrite,
	}, nil
}

func (e *edit) transact(ctx context.Context, writes []platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, e.acceptor.opts.CallTimeout)
	defer cancel()
	return e.acceptor.table.Transact(ctx, writes)
}

// afterFailure returns the recorded result if the operation was applied despite the
// failure, otherwise the given retryError.
func (e *edit) afterFailure(ctx context.Context, again *retryError) (Result, error) {
	if result, found, err := e.lookUp(ctx); found || err != nil {
		return result, err
	}
	return Result{}, again
}

// refuse rejects the edit unless the operation was applied before. While a transaction
// of this edit may still be applied, a rejection could be wrong, so the attempt is
// repeated.
func (e *edit) refuse(ctx context.Context, refusal error) (Result, error) {
	if result, found, err := e.lookUp(ctx); found || err != nil {
		return result, err
	}
	if e.pending {
		return Result{}, &retryError{retryUnknown, refusal}
	}
	return Result{}, refusal
}

// lookUp reads the operation record. It returns ErrOperationReused if the record
// belongs to another edit, and a retryError if the record cannot be read.
func (e *edit) lookUp(ctx context.Context) (Result, bool, error) {
	record, found, err := e.acceptor.readOperation(ctx, e.request.OperationID)
	if err != nil {
		return Result{}, false, &retryError{retryUnavailable, err}
	}
	if !found {
		return Result{}, false, nil
	}
	if record.Fingerprint != e.fingerprint {
		return Result{}, false, fmt.Errorf("%w (operation %s changed section %s)", ErrOperationReused, e.request.OperationID, record.Section)
	}
	e.pending = false
	e.repeated = record.Revision != e.head.Revision || record.Hash != e.head.Sections[record.Section].Hash
	return record.result(e.request.OperationID), true, nil
}
