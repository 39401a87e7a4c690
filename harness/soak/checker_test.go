package soak

import (
	"errors"
	"testing"
)

// Guards against checks that miss a violated guarantee or report one that was kept.
func TestCheckerFindsViolations(t *testing.T) {
	for name, c := range map[string]struct {
		record    func(c *Checker)
		violation bool
	}{
		"served":             {func(c *Checker) { c.OnSent("a", true); c.OnStart("a", "s") }, false},
		"idempotent repeat":  {func(c *Checker) { c.OnSent("a", false); c.OnStart("a", "s"); c.OnStart("a", "s") }, false},
		"repeat":             {func(c *Checker) { c.OnSent("a", true); c.OnStart("a", "s"); c.OnStart("a", "s") }, true},
		"refused":            {func(c *Checker) { c.OnSent("a", true); c.OnRefusal("a", 503) }, false},
		"refused, then runs": {func(c *Checker) { c.OnSent("a", true); c.OnRefusal("a", 503); c.OnStart("a", "s") }, true},
		"runs, then refused": {func(c *Checker) { c.OnSent("a", true); c.OnStart("a", "s"); c.OnRefusal("a", 503) }, true},
		"not sent":           {func(c *Checker) { c.OnStart("a", "s") }, true},
		"lost":               {func(c *Checker) { c.OnSent("a", false); c.OnStart("a", "s"); c.OnLoss("a", "n", errors.New("EOF")) }, true},
		// The node closed an idle connection while the request was on its way.
		"crossed the end": {func(c *Checker) { c.OnSent("a", false); c.OnLoss("a", "n", errors.New("EOF")) }, false},
	} {
		checker := NewChecker()
		c.record(checker)
		if violations, _ := checker.Report(); (len(violations) > 0) != c.violation {
			t.Errorf("%s: violations %v", name, violations)
		}
	}
}
