package ctl

import (
	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/status"
)

// coldRow is a cold server as its own node knows it, or else the node with the newest information.
type coldRow struct {
	status.ColdServer
	KnownTo []string `json:"knownTo"`
	// UnknownTo names the nodes that do not know that the server is cold.
	UnknownTo []string `json:"unknownTo"`
}

func newSidecarColdCommand(f *sidecarFlags) *cobra.Command {
	return newSidecarView(f, sidecarView[coldRow]{
		use: "cold", short: "List the cold servers, and the nodes that do not know of them",
		header:  []string{"SERVICE", "INSTANCE", "NODE", "COLD FOR", "LIMIT/S", "STARTED/S", "SOURCE", "AGE", "NOT KNOWN TO"},
		rows:    mergeCold,
		omitted: func(d status.Document) int { return d.ColdServersOmitted },
		cells: func(c coldRow) []any {
			var started any = "-"
			if c.Started != nil {
				started = *c.Started
			}
			return []any{
				c.Service, c.Instance, c.Node, secondsText(c.RemainingSeconds), numberText(c.LimitPerSecond), started, c.Source,
				secondsText(&c.AgeSeconds), listText(c.UnknownTo),
			}
		},
	})
}

func mergeCold(documents []status.Document) (out []coldRow) {
	rows := make(map[string]*coldRow)
	for _, d := range documents {
		for _, s := range d.ColdServers {
			key := s.Service + " " + s.Node + " " + s.Instance
			row, ok := rows[key]
			if !ok {
				row = &coldRow{ColdServer: s}
				rows[key] = row
			}
			if preferred(d.Node, s.Node, s.AgeSeconds, row.AgeSeconds, row.KnownTo) {
				row.ColdServer = s
			}
			row.KnownTo = append(row.KnownTo, d.Node.Node)
		}
	}
	for _, key := range sortedKeys(rows) {
		row := rows[key]
		row.UnknownTo = namesWithout(documents, row.KnownTo)
		out = append(out, *row)
	}
	return out
}

// preferred reports whether what a node says of a server replaces what the nodes in known say: the
// server's own node knows best, then the one with the newest information.
func preferred(from status.Node, server string, age, knownAge float64, known []string) bool {
	if from.Node == server {
		return true
	}
	for _, name := range known {
		if name == server {
			return false
		}
	}
	return age < knownAge
}
