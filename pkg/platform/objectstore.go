package platform

import "context"

// ObjectStore is the platform's object store. All methods may be called from any
// goroutine. Errors match ErrUnavailable, ErrNotFound, ErrTooLarge or
// ErrUnknownOutcome.
type ObjectStore interface {
	// Put stores an object. Writing the same content again has no effect.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns an object of at most maxBytes bytes.
	Get(ctx context.Context, key string, maxBytes int64) ([]byte, error)
}
