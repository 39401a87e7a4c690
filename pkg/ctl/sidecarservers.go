package ctl

import (
	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/status"
)

// serverRow is a server as its own node knows it, or else the node with the newest information.
type serverRow struct {
	status.Server
	KnownTo []string `json:"knownTo"`
	// UnknownTo names the nodes that send no requests to the server.
	UnknownTo []string `json:"unknownTo"`
}

func newSidecarServersCommand(f *sidecarFlags) *cobra.Command {
	return newSidecarView(f, sidecarView[serverRow]{
		use: "servers", short: "List the servers with their load",
		header:  []string{"SERVICE", "INSTANCE", "NODE", "FAILURE DOMAIN", "SLOTS", "LEARNED LIMIT", "RUNNING", "WAITING", "AGE", "NOT KNOWN TO"},
		rows:    mergeServers,
		omitted: func(d status.Document) int { return d.ServersOmitted },
		cells: func(s serverRow) []any {
			var learned any = "-"
			if s.LearnedLimit != nil {
				learned = *s.LearnedLimit
			}
			return []any{
				s.Service, s.Instance, s.Node, s.FailureDomain, s.Slots, learned, s.Running, s.Waiting, secondsText(&s.AgeSeconds), listText(s.UnknownTo),
			}
		},
	})
}

func mergeServers(documents []status.Document) (out []serverRow) {
	rows := make(map[string]*serverRow)
	for _, d := range documents {
		for _, s := range d.Servers {
			key := s.Service + " " + s.Node + " " + s.Instance
			row, ok := rows[key]
			if !ok {
				row = &serverRow{Server: s}
				rows[key] = row
			}
			if preferred(d.Node, s.Node, s.AgeSeconds, row.AgeSeconds, row.KnownTo) {
				row.Server = s
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
