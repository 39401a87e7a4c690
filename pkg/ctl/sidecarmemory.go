package ctl

import (
	"cmp"
	"slices"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/status"
)

// memoryRow is the memory that a node holds for a purpose or, if Holder is set, for a connection.
type memoryRow struct {
	Node    string                `json:"node"`
	Purpose *status.MemoryPurpose `json:"purpose,omitempty"`
	Holder  *status.MemoryHolder  `json:"holder,omitempty"`
}

func newSidecarMemoryCommand(f *sidecarFlags) *cobra.Command {
	return newSidecarView(f, sidecarView[memoryRow]{
		use: "memory", short: "Show the memory that is held by purpose, and the connections that hold most",
		header: []string{"NODE", "HELD FOR", "ACCOUNT", "BYTES", "LIMIT", "WITHOUT PROGRESS"},
		rows:   mergeMemory,
		cells: func(m memoryRow) []any {
			if h := m.Holder; h != nil {
				return []any{m.Node, h.Kind + " " + h.Address, cmp.Or(h.Account, "-"), h.Bytes, "-", secondsText(&h.StalledSeconds)}
			}
			return []any{m.Node, m.Purpose.Purpose, "-", m.Purpose.Held, m.Purpose.Limit, "-"}
		},
	})
}

// mergeMemory lists the purposes of all nodes, then the holders of all nodes, the largest first.
func mergeMemory(documents []status.Document) (out []memoryRow) {
	var holders []memoryRow
	for _, d := range documents {
		for _, p := range d.Memory.Purposes {
			out = append(out, memoryRow{Node: d.Node.Node, Purpose: &p})
		}
		for _, h := range d.Memory.Holders {
			holders = append(holders, memoryRow{Node: d.Node.Node, Holder: &h})
		}
	}
	slices.SortStableFunc(holders, func(a, b memoryRow) int { return cmp.Compare(b.Holder.Bytes, a.Holder.Bytes) })
	return append(out, holders...)
}
