package shares

import (
	"slices"

	"corianderwood.example/corianderwood/pkg/quota"
)

// maxChange is the reciprocal of the part of the members by which one epoch adds nodes beyond those that
// it replaces, or leaves members out. During the transition, the parts in use add up to
// 3/4 x 4/5 at least of what they were; the usual demand is 1/1.6 of the limits.
const maxChange = 4

// Proposer decides when a node proposes an epoch, and which. It is not safe for concurrent use.
type Proposer struct {
	timing       Timing
	linked       []string
	since        quota.Time
	missingSince map[string]quota.Time
}

// NewProposer returns a Proposer that has seen nothing.
func NewProposer(t Timing) *Proposer {
	return &Proposer{timing: t, missingSince: map[string]quota.Time{}}
}

// Next returns the row that the node should write over the one that it knows: that the epoch is settled,
// or the next epoch. linked holds the sorted names of the nodes that have a row in the store and a
// working link to this node, and of this node.
func (p *Proposer) Next(now quota.Time, k *Knowledge, linked []string) (Row, bool) {
	row, _, ok := k.Row()
	if !slices.Equal(linked, p.linked) {
		p.linked, p.since = slices.Clone(linked), now
	}
	for m := range p.missingSince {
		if slices.Contains(linked, m) || !slices.Contains(row.Members, m) {
			delete(p.missingSince, m)
		}
	}
	for _, m := range row.Members {
		if _, ok := p.missingSince[m]; !ok && !slices.Contains(linked, m) {
			p.missingSince[m] = now
		}
	}
	if _, until := k.Share(now); !ok || !k.Settled() || now >= until {
		return Row{}, false
	}
	if len(row.Previous) > 0 {
		return Row{Epoch: row.Epoch, Members: row.Members}, true
	}
	if now.Sub(p.since) < p.timing.Unchanged || now.Sub(k.fullAt) < p.timing.Settle {
		return Row{}, false
	}
	if k.askAll = row.Epoch == 0 && !p.allAnswer(k, row.Members); k.askAll {
		return Row{}, false
	}
	next := p.members(now, row.Members)
	if slices.Equal(next, row.Members) {
		return Row{}, false
	}
	return Row{Epoch: row.Epoch + 1, Members: next, Previous: row.Members}, true
}

// allAnswer reports whether all linked members take part in changes. One that does not, since its settings or
// version lack them, would keep its share of epoch 0.
func (p *Proposer) allAnswer(k *Knowledge, members []string) bool {
	for _, m := range members {
		if m != k.self && slices.Contains(p.linked, m) && !k.answered[m] {
			return false
		}
	}
	return true
}

// members returns the members of the next epoch.
func (p *Proposer) members(now quota.Time, members []string) []string {
	change := max(1, len(members)/maxChange)
	present := 0
	var next, joined []string
	removed := 0
	for _, m := range members {
		since, missing := p.missingSince[m]
		if !missing {
			present++
		}
		if missing && now.Sub(since) >= p.timing.Missing && removed < change {
			removed++
			continue
		}
		next = append(next, m)
	}
	if present < informedQuorum(len(members)) {
		return members // the links of this node tell little about the others, and the epoch could not settle
	}
	for _, n := range p.linked {
		if !slices.Contains(members, n) {
			joined = append(joined, n)
		}
	}
	next = append(next, joined[:min(len(joined), change+removed)]...)
	slices.Sort(next)
	return next
}
