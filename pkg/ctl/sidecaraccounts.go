package ctl

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/status"
)

// accountRow is an account as all nodes that were asked see it together.
type accountRow struct {
	Name string `json:"name"`
	// RatePerSecond and Burst are those of the newest configuration at any of the nodes.
	RatePerSecond     float64           `json:"ratePerS"`
	Burst             float64           `json:"burst"`
	Tokens            int               `json:"tokens"`
	RequestsPerSecond float64           `json:"requestsPerS"`
	AtLimit           bool              `json:"atLimit"`
	Refused           map[string]uint64 `json:"refused"`
	// RefusedBy holds the refusals of each node that has refused requests, by reason.
	RefusedBy          map[string]map[string]uint64 `json:"refusedBy"`
	LastRefusedSeconds *float64                     `json:"lastRefusedSeconds"`
	// Coordinators has several entries of a stripe if the nodes ask different coordinators. The share
	// is the largest one that a node was told.
	Coordinators []status.Coordinator `json:"coordinators"`

	configuration uint64
}

func newSidecarAccountsCommand(f *sidecarFlags) *cobra.Command {
	return newSidecarView(f, sidecarView[accountRow]{
		use: "accounts", short: "List the accounts with their limits, and the nodes that refuse their requests",
		header:  []string{"ACCOUNT", "RATE/S", "BURST", "AT LIMIT", "REQUESTS/S", "TOKENS", "REFUSED", "REFUSED BY", "LAST REFUSED", "COORDINATORS"},
		rows:    mergeAccounts,
		omitted: func(d status.Document) int { return d.AccountsOmitted },
		cells: func(a accountRow) []any {
			rate, burst := "-", "-"
			if a.RatePerSecond > 0 {
				rate, burst = numberText(a.RatePerSecond), numberText(a.Burst)
			}
			var coordinators []string
			for _, c := range a.Coordinators {
				coordinators = append(coordinators, fmt.Sprintf("%d=%s:%.0f%%", c.Stripe, cmp.Or(c.Node, "none"), 100*c.Share))
			}
			return []any{
				a.Name, rate, burst, yesText(a.AtLimit), rateText(a.RequestsPerSecond), a.Tokens, countsText(a.Refused), countsText(totals(a.RefusedBy)),
				secondsText(a.LastRefusedSeconds), listText(coordinators),
			}
		},
	})
}

// totals returns the sum of the counts of each node.
func totals(byNode map[string]map[string]uint64) map[string]uint64 {
	out := make(map[string]uint64, len(byNode))
	for node, counts := range byNode {
		for _, count := range counts {
			out[node] += count
		}
	}
	return out
}

// mergeAccounts sums the accounts of all nodes. Those that were refused last come first.
func mergeAccounts(documents []status.Document) (out []accountRow) {
	rows := make(map[string]*accountRow)
	for _, d := range documents {
		for _, a := range d.Accounts {
			row, ok := rows[a.Name]
			if !ok {
				row = &accountRow{Name: a.Name, Refused: make(map[string]uint64), RefusedBy: make(map[string]map[string]uint64)}
				rows[a.Name] = row
			}
			row.add(d.Node, a)
		}
	}
	for _, name := range sortedKeys(rows) {
		out = append(out, *rows[name])
	}
	slices.SortStableFunc(out, func(a, b accountRow) int {
		if a.AtLimit != b.AtLimit {
			return boolOrder(a.AtLimit)
		}
		if (a.LastRefusedSeconds == nil) != (b.LastRefusedSeconds == nil) {
			return boolOrder(a.LastRefusedSeconds != nil)
		}
		if a.LastRefusedSeconds == nil {
			return 0
		}
		return cmp.Compare(*a.LastRefusedSeconds, *b.LastRefusedSeconds)
	})
	return out
}

// boolOrder orders an element that has a property before one that has not.
func boolOrder(first bool) int {
	if first {
		return -1
	}
	return 1
}

func (r *accountRow) add(node status.Node, a status.Account) {
	if node.Configuration >= r.configuration {
		r.configuration, r.RatePerSecond, r.Burst = node.Configuration, a.RatePerSecond, a.Burst
	}
	r.Tokens += a.Tokens
	r.RequestsPerSecond += a.RequestsPerSecond
	r.AtLimit = r.AtLimit || a.AtLimit
	if len(a.Refused) > 0 {
		r.RefusedBy[node.Node] = a.Refused
	}
	for why, count := range a.Refused {
		r.Refused[why] += count
	}
	if last := a.LastRefusedSeconds; last != nil && (r.LastRefusedSeconds == nil || *last < *r.LastRefusedSeconds) {
		r.LastRefusedSeconds = last
	}
	for _, c := range a.Coordinators {
		i := slices.IndexFunc(r.Coordinators, func(o status.Coordinator) bool { return o.Stripe == c.Stripe && o.Node == c.Node })
		if i < 0 {
			r.Coordinators = append(r.Coordinators, c)
		} else {
			r.Coordinators[i].Share = max(r.Coordinators[i].Share, c.Share)
		}
	}
	slices.SortStableFunc(r.Coordinators, func(x, y status.Coordinator) int { return cmp.Compare(x.Stripe, y.Stripe) })
}
