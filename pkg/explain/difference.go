package explain

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/placement"
)

// ageTolerance is the difference of two nodes' ages of a figure that counts as none.
const ageTolerance = time.Second

// Difference is something that two nodes know or decide differently.
type Difference struct {
	// Node is the instance whose answer differs from the first one.
	Node string `json:"node"`
	// Candidate is the node of the server that the difference is about; empty for one about the node.
	Candidate string `json:"candidate,omitempty"`
	// What differs; First and Other are the values of the two answers.
	What  string `json:"what"`
	First string `json:"first"`
	Other string `json:"other"`
}

// Differences returns how another node's answer to the same question differs from the first one: another
// configuration, missing candidates, ages that differ by more than a second, and other exclusions. That
// a request stays at nearer servers, or that one is slower than others, is no difference: that depends
// on the node, and says nothing of the server alone.
func Differences(first, other Answer) []Difference {
	var out []Difference
	add := func(candidate, what string, a, b any) {
		if textA, textB := fmt.Sprint(a), fmt.Sprint(b); textA != textB {
			out = append(out, Difference{Node: other.Node.Instance, Candidate: candidate, What: what, First: textA, Other: textB})
		}
	}
	add("", "configuration", first.Node.Configuration, other.Node.Configuration)
	add("", "route", first.Route.Name, other.Route.Name)
	firsts, others := byNode(first), byNode(other)
	names := make([]string, 0, len(firsts))
	for name := range firsts {
		names = append(names, name)
	}
	for name := range others {
		if _, ok := firsts[name]; !ok {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	for _, name := range names {
		a, inFirst := firsts[name]
		b, inOther := others[name]
		add(name, "candidate", presence(inFirst), presence(inOther))
		if !inFirst || !inOther {
			continue
		}
		add(name, "instance", a.Instance, b.Instance)
		add(name, "excluded", exclusionText(a), exclusionText(b))
		for _, age := range []struct {
			what string
			a, b *float64
		}{
			{"age of the slots", a.SlotsAgeMs, b.SlotsAgeMs},
			{"age of the load", a.LoadAgeMs, b.LoadAgeMs},
			{"age of the service time", a.ServiceTimeAgeMs, b.ServiceTimeAgeMs},
		} {
			if agesDiffer(age.a, age.b) {
				add(name, age.what, AgeText(age.a), AgeText(age.b))
			}
		}
	}
	return out
}

func byNode(a Answer) map[string]Candidate {
	out := make(map[string]Candidate, len(a.Candidates))
	for _, c := range a.Candidates {
		out[c.Node] = c
	}
	return out
}

func presence(known bool) string {
	if known {
		return "known"
	}
	return "missing"
}

func exclusionText(c Candidate) string {
	switch placement.Exclusion(c.Excluded) {
	case "", placement.StaysLocal, placement.Slower:
		return "no"
	}
	return c.Excluded
}

func agesDiffer(a, b *float64) bool {
	if a == nil || b == nil {
		return a != b
	}
	return math.Abs(*a-*b) > ms(ageTolerance)
}

// AgeText returns an age in milliseconds as text.
func AgeText(age *float64) string {
	if age == nil {
		return "none"
	}
	return (time.Duration(*age) * time.Millisecond).String()
}
