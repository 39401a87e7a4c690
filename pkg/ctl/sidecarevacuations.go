package ctl

import (
	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/status"
)

// evacuationRow is an evacuation as all nodes that were asked know it.
type evacuationRow struct {
	FailureDomain string `json:"failureDomain"`
	// KnownSeconds is the time since the first of the nodes learned of it.
	KnownSeconds float64 `json:"knownSeconds"`
	// OwnServers names the nodes from whose servers it keeps requests.
	OwnServers []string `json:"ownServers"`
	KnownTo    []string `json:"knownTo"`
	// UnknownTo names the nodes that do not know it.
	UnknownTo []string `json:"unknownTo"`
}

func newSidecarEvacuationsCommand(f *sidecarFlags) *cobra.Command {
	return newSidecarView(f, sidecarView[evacuationRow]{
		use: "evacuations", short: "List the evacuated failure domains, and the nodes that do not know of them",
		header: []string{"FAILURE DOMAIN", "KNOWN FOR", "SERVERS OF", "NOT KNOWN TO"},
		rows:   mergeEvacuations,
		cells: func(e evacuationRow) []any {
			return []any{e.FailureDomain, secondsText(&e.KnownSeconds), listText(e.OwnServers), listText(e.UnknownTo)}
		},
	})
}

func mergeEvacuations(documents []status.Document) (out []evacuationRow) {
	rows := make(map[string]*evacuationRow)
	for _, d := range documents {
		for _, e := range d.Evacuations {
			row, ok := rows[e.FailureDomain]
			if !ok {
				row = &evacuationRow{FailureDomain: e.FailureDomain, OwnServers: []string{}}
				rows[e.FailureDomain] = row
			}
			row.KnownSeconds = max(row.KnownSeconds, e.KnownSeconds)
			row.KnownTo = append(row.KnownTo, d.Node.Node)
			if e.OwnServer {
				row.OwnServers = append(row.OwnServers, d.Node.Node)
			}
		}
	}
	for _, domain := range sortedKeys(rows) {
		row := rows[domain]
		row.UnknownTo = namesWithout(documents, row.KnownTo)
		out = append(out, *row)
	}
	return out
}
