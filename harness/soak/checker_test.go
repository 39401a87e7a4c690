package soak

import (
	"errors"
	"testing"
)

// Guards against checks that accept broken promises, and against false alarms.
func TestCheckerFindsBrokenPromises(t *testing.T) {
	for name, c := range map[string]struct {
		play   func(c *Checker)
		broken bool
	}{
		"served":             {func(c *Checker) { c.Sent("a", true); c.Ran("a", "s") }, false},
		"idempotent repeat":  {func(c *Checker) { c.Sent("a", false); c.Ran("a", "s"); c.Ran("a", "s") }, false},
		"repeat":             {func(c *Checker) { c.Sent("a", true); c.Ran("a", "s"); c.Ran("a", "s") }, true},
		"refused":            {func(c *Checker) { c.Sent("a", true); c.Refused("a", 503) }, false},
		"refused, then runs": {func(c *Checker) { c.Sent("a", true); c.Refused("a", 503); c.Ran("a", "s") }, true},
		"runs, then refused": {func(c *Checker) { c.Sent("a", true); c.Ran("a", "s"); c.Refused("a", 503) }, true},
		"not sent":           {func(c *Checker) { c.Ran("a", "s") }, true},
		"lost":               {func(c *Checker) { c.Sent("a", false); c.Ran("a", "s"); c.Lost("a", "n", errors.New("EOF")) }, true},
		"crossed the end":    {func(c *Checker) { c.Sent("a", false); c.Lost("a", "n", errors.New("EOF")) }, false},
	} {
		checker := NewChecker()
		c.play(checker)
		if broken, _ := checker.Report(); (len(broken) > 0) != c.broken {
			t.Errorf("%s: broken promises %v", name, broken)
		}
	}
}
