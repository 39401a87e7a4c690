package move

import (
	"context"
	"errors"
	"fmt"

	"corianderwood.example/corianderwood/pkg/platform"
)

// writeAttempts is the number of write attempts of one Write call.
const writeAttempts = 3

// Recorder stores the outcomes of moves in the platform's table. It is safe for
// concurrent use.
type Recorder struct {
	table   platform.Table
	metrics *Metrics
}

// NewRecorder returns a recorder that uses the table. metrics may be nil.
func NewRecorder(table platform.Table, metrics *Metrics) *Recorder {
	return &Recorder{table: table, metrics: metrics}
}

// Write records the outcome unless one is recorded already, and returns the recorded
// one, which may differ from o. An error that matches ErrPending means that no outcome
// is known to be recorded; the caller repeats the write later. One that matches
// ErrRecord means that the row is invalid; a repeated write would not change it.
func (r *Recorder) Write(ctx context.Context, o Outcome) (Outcome, error) {
	value, err := encoding.Marshal(o)
	if err != nil {
		return Outcome{}, fmt.Errorf("encoding the outcome of move %s: %w", o.Move, err)
	}
	var last error
	for range writeAttempts {
		last = r.table.Transact(ctx, []platform.Write{{
			Key: rowKey(o.Move), Value: value, Condition: platform.IfAbsent,
		}})
		if last == nil {
			r.metrics.countOutcome(o)
			return o, nil
		}
		if errors.Is(last, platform.ErrUnavailable) {
			break
		}
		// After a conflict or a lost response, the row shows what is recorded.
		recorded, found, err := r.Read(ctx, o.Move)
		if err != nil {
			last = errors.Join(last, err)
			break
		}
		if found {
			r.metrics.countOutcome(recorded)
			return recorded, nil
		}
	}
	r.metrics.countPendingWrite()
	if errors.Is(last, ErrRecord) {
		return Outcome{}, last
	}
	return Outcome{}, fmt.Errorf("%w: %w", ErrPending, last)
}

// Read returns the recorded outcome of a move. The second result is false if none is
// recorded. Errors match ErrRecord if the row is invalid; other errors are those of the
// table.
func (r *Recorder) Read(ctx context.Context, id string) (Outcome, bool, error) {
	row, found, err := r.table.Get(ctx, rowKey(id))
	if err != nil || !found {
		return Outcome{}, false, err
	}
	o, err := decodeOutcome(id, row.Value)
	return o, err == nil, err
}

func rowKey(id string) string { return "move/" + id }
