package platform

import (
	"context"
	"errors"
	"time"

	"corianderwood.example/corianderwood/pkg/rowcache"
)

// ErrHistoryGone means that the changes after the given version are no longer
// kept; list the table again.
var ErrHistoryGone = errors.New("platform: the requested history is gone; list the table again")

// ChangeFeed follows the rows of a table. All methods may be called from any
// goroutine. Errors match ErrUnavailable or ErrHistoryGone.
type ChangeFeed interface {
	// List returns all rows of a table and the version up to which they are complete.
	List(ctx context.Context, table string) ([]rowcache.Row, uint64, error)
	// Changes returns the rows that changed after a version, deletions included,
	// and the version to continue from. It waits at most the given time for a
	// first change.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowcache.Row, uint64, error)
}
