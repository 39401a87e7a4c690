package ctl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"corianderwood.example/corianderwood/pkg/status"
)

// secondsText formats a duration in seconds with the precision of a tenth; "-" stands for an unknown
// one.
func secondsText(s *float64) string {
	if s == nil {
		return "-"
	}
	return time.Duration(*s * float64(time.Second)).Round(time.Second / 10).String()
}

func numberText(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// rateText formats a measured rate per second.
func rateText(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }

func countsText(counts map[string]uint64) string {
	var parts []string
	for _, name := range sortedKeys(counts) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return listText(parts)
}

// listText joins the elements; "-" stands for none.
func listText(all []string) string {
	if len(all) == 0 {
		return "-"
	}
	return strings.Join(all, ",")
}

func yesText(b bool) string {
	if b {
		return "yes"
	}
	return "-"
}

// namesWithout returns the names of the nodes that are not in known.
func namesWithout(documents []status.Document, known []string) []string {
	out := []string{}
	for _, d := range documents {
		if !slices.Contains(known, d.Node.Node) {
			out = append(out, d.Node.Node)
		}
	}
	return out
}
