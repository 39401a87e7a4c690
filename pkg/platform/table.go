package platform

import "context"

// Table is the platform's transactional table. All methods may be called from any
// goroutine. Errors match ErrConflict, ErrUnavailable or ErrUnknownOutcome.
type Table interface {
	// Get returns the row with the given key by a strongly consistent read. The
	// second result is false if there is no such row.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Query returns at most limit rows whose keys start with prefix, in key order. The
	// prefix must contain a '/'. Keys with another '/' after the prefix may be missing
	// in the result.
	Query(ctx context.Context, prefix string, limit int) ([]Row, error)
	// Transact applies all writes or none. It returns ErrConflict if a condition does
	// not hold, and ErrUnknownOutcome if the writes may have been applied.
	Transact(ctx context.Context, writes []Write) error
}
