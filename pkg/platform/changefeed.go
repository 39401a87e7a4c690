package platform

import (
	"context"
	"errors"
	"time"

	"corianderwood.example/corianderwood/pkg/rowcache"
)

// ErrHistoryGone means that the changes after the given version have been deleted. The
// table must be listed again.
var ErrHistoryGone = errors.New("platform: the requested changes have been deleted; list the table again")

// ChangeFeed provides the rows of a table and their changes. All methods may be called
// from any goroutine. Errors match ErrUnavailable or ErrHistoryGone. A repeated call does not
// use the connection of the earlier one, which may have stopped delivering.
type ChangeFeed interface {
	// List returns all rows of a table and the version up to which they are complete.
	List(ctx context.Context, table string) ([]rowcache.Row, uint64, error)
	// Changes returns the rows that changed after a version, including deletions, and
	// the version from which to continue. It waits up to the given duration for the
	// first change.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowcache.Row, uint64, error)
}
