package ctl

import (
	"fmt"
	"io"
	"strings"

	"corianderwood.example/corianderwood/pkg/explain"
)

// writeExplanation prints an explanation as text, a line for each decision and a table of the servers.
func (c *connection) writeExplanation(w io.Writer, e explanation) error {
	a := e.Answer
	lines := table{header: []string{"STEP", "DECISION"}}
	lines.add("node", fmt.Sprintf("%s in %s, configuration %d", a.Node.Instance, a.Node.FailureDomain, a.Node.Configuration))
	lines.add("outcome", outcomeText(a.Outcome))
	lines.add("route", routeText(a.Route))
	if a.Key != nil {
		lines.add("key", keyText(*a.Key))
	}
	if a.Limit != nil {
		lines.add("limit", limitText(*a.Limit))
	}
	lines.add("budgets", budgetsText(a.Budgets))
	if a.OwnServer != nil {
		lines.add("own server", ownServerText(*a.OwnServer))
	}
	if err := c.write(w, nil, lines); err != nil {
		return err
	}
	if a.Route.Matched {
		fmt.Fprintf(w, "\ncandidates by %s versions\n", a.Versions)
		if err := c.write(w, nil, candidatesTable(a)); err != nil {
			return err
		}
		if a.CandidatesOmitted > 0 {
			fmt.Fprintf(w, "%d less probable ones are left out\n", a.CandidatesOmitted)
		}
	}
	if len(e.Differences) > 0 {
		t := table{header: []string{"OTHER NODE", "CANDIDATE", "WHAT", a.Node.Instance, "OTHER"}}
		for _, d := range e.Differences {
			t.add(d.Node, d.Candidate, d.What, d.First, d.Other)
		}
		fmt.Fprintln(w)
		if err := c.write(w, nil, t); err != nil {
			return err
		}
	}
	for _, n := range e.NotReached {
		fmt.Fprintf(w, "not reached: %s: %s\n", n.Node, n.Error)
	}
	return nil
}

func candidatesTable(a explain.Answer) table {
	t := table{header: []string{"NODE", "INSTANCE", "DOMAIN", "SLOTS", "RUNNING", "WAITING", "LIMIT", "LOAD AGE", "SERVICE MS", "SERVICE AGE", "NETWORK MS", "ESTIMATE MS", "CHANCE", "EXCLUDED"}}
	for _, candidate := range a.Candidates {
		if candidate.SlotsAgeMs == nil { // nothing is known of the server's load
			t.add(candidate.Node, candidate.Instance, candidate.FailureDomain, "", "", "", "", "", "", "", "", "", percent(0), candidate.Excluded)
			continue
		}
		t.add(candidate.Node, candidate.Instance, candidate.FailureDomain, candidate.Slots, candidate.Running, candidate.Waiting, candidate.LearnedLimit,
			explain.AgeText(candidate.LoadAgeMs), rounded(candidate.ServiceTimeMs), explain.AgeText(candidate.ServiceTimeAgeMs), rounded(candidate.NetworkMs),
			rounded(candidate.EstimatedMs), percent(candidate.Probability), exclusionText(candidate))
	}
	return t
}

// exclusionText returns why the server is excluded, and what else limits it.
func exclusionText(candidate explain.Candidate) string {
	var parts []string
	if candidate.Excluded != "" {
		parts = append(parts, candidate.Excluded)
	}
	if candidate.RequestLimitPerS != nil {
		what := "limit"
		if candidate.Cold {
			what = "cold, limit"
		}
		parts = append(parts, fmt.Sprintf("%s %.3g/s", what, *candidate.RequestLimitPerS))
	}
	return strings.Join(parts, "; ")
}

func rounded(ms float64) string { return fmt.Sprintf("%.1f", ms) }

func outcomeText(o explain.Outcome) string {
	text := o.Action + " (" + o.Step + ")"
	if o.Reason != "" {
		text += fmt.Sprintf(": %d %s", o.Status, o.Reason)
	}
	if o.RetryAfterMs > 0 {
		text += ", return after " + rounded(o.RetryAfterMs) + " ms"
	}
	return text
}

func routeText(r explain.Route) string {
	if !r.Matched {
		return "none: " + r.Problem
	}
	return fmt.Sprintf("%s of %s: service %s, %s, priority %d, deadline %s ms, target %s ms, %d attempts",
		r.Name, r.Host, r.Service, r.Kind, r.Priority, rounded(r.DeadlineMs), rounded(r.TargetMs), r.Attempts)
}

func keyText(k explain.Key) string {
	text := "not needed"
	if k.Needed {
		text = "needed"
	}
	switch {
	case !k.Accepted:
		text += ", keys are refused now: the configuration may be out of date"
	case k.FreshMs >= 0:
		text += ", accepted for " + rounded(k.FreshMs) + " ms"
	}
	if k.Account != "" {
		text += ", account " + k.Account
	}
	if k.Refusal != "" {
		text += ", refused: " + k.Refusal
	}
	return text
}

func limitText(l explain.Limit) string {
	text := fmt.Sprintf("%.6g/s, burst %.6g: %d tokens here, %d requests wait, demand %.3g/s: %s", l.RatePerS, l.Burst, l.Tokens, l.Waiting, l.DemandPerS, l.Action)
	if l.WaitMs > 0 {
		text += " for up to " + rounded(l.WaitMs) + " ms, then"
	}
	if l.Reason != "" {
		text += fmt.Sprintf(" %d %s, return after %s ms", l.Status, l.Reason, rounded(l.RetryAfterMs))
	}
	return text
}

func budgetsText(b explain.Budgets) string {
	text := fmt.Sprintf("memory %d of %d bytes, client connections %d of %d, bodies up to %d bytes",
		b.MemoryBytes, b.MemoryLimitBytes, b.ClientConnections, b.ClientConnectionLimit, b.BodyLimitBytes)
	if b.MemoryShort {
		text += "; memory is short"
	}
	if b.BodyTooLarge {
		text += "; the body is too large"
	}
	return text
}

func ownServerText(s explain.OwnServer) string {
	text := s.Action
	switch s.Action {
	case explain.ActionWait:
		text += fmt.Sprintf(" behind %d for %s ms", s.Ahead, rounded(s.WaitMs))
	case explain.ActionRefuse:
		text += ": " + s.Reason
		if s.RetryAfterMs > 0 {
			text += ", return after " + rounded(s.RetryAfterMs) + " ms"
		}
	}
	text += fmt.Sprintf("; %d running, %d waiting, %d at once, %s ms each", s.Running, s.Waiting, s.LearnedLimit, rounded(s.ServiceTimeMs))
	if s.Cold {
		text += ", cold"
	}
	return text
}
