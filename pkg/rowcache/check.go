package rowcache

import (
	"errors"
	"fmt"
)

// ErrForeignRow means that rows of a table came with a row of another one. They tell nothing
// about the table, not even which of its rows were deleted.
var ErrForeignRow = errors.New("rowcache: row of a table that was not asked for; check the store and what forwards its responses")

// Check returns an error that matches ErrForeignRow unless all rows are of the table.
func Check(table string, rows []Row) error {
	for _, r := range rows {
		if r.Table != table {
			return fmt.Errorf("%w: row %q of table %q instead of %q", ErrForeignRow, r.Key, r.Table, table)
		}
	}
	return nil
}
