package ctl

import (
	"cmp"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/status"
)

// nodeRow is a node with the requests that it has refused.
type nodeRow struct {
	status.Node
	Refusals map[string]uint64 `json:"refusals"`
}

func newSidecarStatusCommand(f *sidecarFlags) *cobra.Command {
	return newSidecarView(f, sidecarView[nodeRow]{
		use: "status", short: "Show whether the nodes are ready, and what they refuse",
		header: []string{"NODE", "SERVICE", "FAILURE DOMAIN", "PROCESS", "READY", "CONFIGURATION", "STORE ERA", "FRESH FOR", "DRAINING", "REFUSALS"},
		rows: func(documents []status.Document) (out []nodeRow) {
			for _, d := range documents {
				out = append(out, nodeRow{d.Node, d.Refusals})
			}
			return out
		},
		cells: func(n nodeRow) []any {
			ready := cmp.Or(n.Reason, "yes")
			return []any{n.Node.Node, n.Service, n.FailureDomain, n.Process, ready, n.Configuration, n.StoreEra, secondsText(n.FreshSeconds), yesText(n.Draining), countsText(n.Refusals)}
		},
	})
}
