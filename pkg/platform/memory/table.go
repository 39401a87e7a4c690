package memory

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"corianderwood.example/corianderwood/pkg/platform"
)

// maxTransactionWrites is DynamoDB's limit on the number of actions in one transaction.
const maxTransactionWrites = 100

// Table implements platform.Table.
type Table struct {
	*service
	rows map[string]platform.Row
}

var _ platform.Table = (*Table)(nil)

// NewTable returns an empty table. The seed determines which requests are affected by
// random faults.
func NewTable(seed uint64) *Table {
	return &Table{service: newService(seed, 1), rows: map[string]platform.Row{}}
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, bool, error) {
	var row platform.Row
	var ok bool
	err := t.run(ctx, false, func() error {
		row, ok = t.rows[key]
		row.Value = bytes.Clone(row.Value)
		t.counters.Reads++
		t.counters.ReadBytes += len(key) + len(row.Value)
		return nil
	})
	if err != nil {
		return platform.Row{}, false, err
	}
	return row, ok, nil
}

// Query implements platform.Table.
func (t *Table) Query(ctx context.Context, prefix string, limit int) ([]platform.Row, error) {
	var rows []platform.Row
	err := t.run(ctx, false, func() error {
		rows = nil
		for key, row := range t.rows {
			if strings.HasPrefix(key, prefix) {
				row.Value = bytes.Clone(row.Value)
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
		rows = rows[:min(len(rows), max(limit, 0))]
		t.counters.Reads++
		for _, row := range rows {
			t.counters.ReadBytes += len(row.Key) + len(row.Value)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Transact implements platform.Table.
func (t *Table) Transact(ctx context.Context, writes []platform.Write) error {
	if err := checkWrites(writes); err != nil {
		return err
	}
	owned := slices.Clone(writes)
	for i := range owned {
		owned[i].Value = bytes.Clone(owned[i].Value)
	}
	return t.run(ctx, true, func() error { return t.apply(owned) })
}

func checkWrites(writes []platform.Write) error {
	if len(writes) == 0 || len(writes) > maxTransactionWrites {
		return fmt.Errorf("memory: a transaction has 1 to %d writes, not %d: %w", maxTransactionWrites, len(writes), platform.ErrUnavailable)
	}
	keys := map[string]bool{}
	for _, w := range writes {
		if keys[w.Key] {
			return fmt.Errorf("memory: row %s occurs twice in one transaction: %w", w.Key, platform.ErrUnavailable)
		}
		keys[w.Key] = true
	}
	return nil
}

// apply applies all writes, or none if a condition does not hold. The caller holds mu.
func (t *Table) apply(writes []platform.Write) error {
	t.counters.Writes++
	for _, w := range writes {
		row, exists := t.rows[w.Key]
		if w.Condition == platform.IfAbsent && exists ||
			w.Condition == platform.IfRevision && (!exists || row.Revision != w.Revision) {
			return fmt.Errorf("memory: row %s: %w", w.Key, platform.ErrConflict)
		}
	}
	for _, w := range writes {
		t.counters.WrittenBytes += len(w.Key) + len(w.Value)
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = platform.Row{Key: w.Key, Revision: t.rows[w.Key].Revision + 1, Value: w.Value}
	}
	return nil
}
