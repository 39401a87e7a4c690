package sidecar

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/platform"
	"corianderwood.example/corianderwood/pkg/rowcache"
)

// feedStore returns the same result for each read of a table.
type feedStore struct {
	Store
	rows []rowcache.Row
	err  error
}

func (s feedStore) List(context.Context, string) ([]rowcache.Row, uint64, error) {
	return s.rows, 9, s.err
}

// Guards against a response with the rows of another table, which counts as the whole table,
// so that its own rows count as deleted, and against one that is refused without being counted.
func TestRowsOfAnotherTableReplaceTable(t *testing.T) {
	known := rowcache.Row{Table: "op", Key: "config", Version: 3}
	foreign := rowcache.Row{Table: "mesh", Key: "node/a", Version: 8}
	for name, store := range map[string]feedStore{
		"rows of another table": {rows: []rowcache.Row{foreign}},
		"one row among others":  {rows: []rowcache.Row{known, foreign}},
		"unreadable":            {err: errors.Join(platform.ErrUnavailable, platform.ErrUnreadable)},
	} {
		t.Run(name, func(t *testing.T) {
			registry := prometheus.NewRegistry()
			n := &Node{cache: rowcache.New("op", "mesh"), deploy: Deployment{Store: store}, metrics: newMetrics(registry, func() int64 { return 0 })}
			n.settings.Bounds.ConfigApply = time.Minute
			n.cache.Apply("op", []rowcache.Row{known}, 3)
			if err := n.readTable(t.Context(), "op", true); err == nil {
				t.Error("the response is accepted")
			}
			if rows, version := n.cache.Rows("op"), n.cache.Version("op"); len(rows) != 1 || rows[0].Key != known.Key || version != 3 {
				t.Errorf("copy of the table: %+v up to version %d, want it unchanged", rows, version)
			}
			if got := counterValue(t, registry, "corianderwood_store_responses_refused_total"); got != 1 {
				t.Errorf("%v responses count as refused, want 1", got)
			}
		})
	}
}

func counterValue(t *testing.T, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}
