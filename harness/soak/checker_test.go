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
		"served":             {func(c *Checker) { c.OnSent("a", true); c.OnStart("a", "s", 200) }, false},
		"idempotent repeat":  {func(c *Checker) { c.OnSent("a", false); c.OnStart("a", "s", 200); c.OnStart("a", "s", 200) }, false},
		"repeat":             {func(c *Checker) { c.OnSent("a", true); c.OnStart("a", "s", 200); c.OnStart("a", "s", 200) }, true},
		"refused":            {func(c *Checker) { c.OnSent("a", true); c.OnRefusal("a", 503) }, false},
		"refused, then runs": {func(c *Checker) { c.OnSent("a", true); c.OnRefusal("a", 503); c.OnStart("a", "s", 200) }, true},
		"runs, then refused": {func(c *Checker) { c.OnSent("a", true); c.OnStart("a", "s", 200); c.OnRefusal("a", 503) }, true},
		"not sent":           {func(c *Checker) { c.OnStart("a", "s", 200) }, true},
		"lost": {func(c *Checker) {
			c.OnSent("a", false)
			c.OnStart("a", "s", 200)
			c.OnLoss("a", "n", errors.New("EOF"))
		}, true},
		// The node closed an idle connection while the request was on its way.
		"crossed the end": {func(c *Checker) { c.OnSent("a", false); c.OnLoss("a", "n", errors.New("EOF")) }, false},
		"response to the last sending": {func(c *Checker) {
			c.OnSent("a", false)
			c.OnSending("a")
			c.OnStart("a", "s", 200)
			c.OnSending("a")
			c.OnStart("a", "s", 500)
			c.OnStart("a", "t", 500)
			c.OnResponse("a", 500, 2)
		}, false},
		// The execution of the first sending starts late.
		"response to either sending": {func(c *Checker) {
			c.OnSent("a", false)
			c.OnSending("a")
			c.OnSending("a")
			c.OnStart("a", "s", 200)
			c.OnStart("a", "s", 500)
			c.OnResponse("a", 500, 2)
		}, false},
		"success of an earlier sending": {func(c *Checker) {
			c.OnSent("a", false)
			c.OnSending("a")
			c.OnStart("a", "s", 200)
			c.OnSending("a")
			c.OnStart("a", "s", 500)
			c.OnResponse("a", 200, 1)
		}, true},
		"failure of an earlier sending": {func(c *Checker) {
			c.OnSent("a", false)
			c.OnSending("a")
			c.OnStart("a", "s", 500)
			c.OnSending("a")
			c.OnResponse("a", 500, 1)
		}, true},
		"success of a failed execution": {func(c *Checker) {
			c.OnSent("a", false)
			c.OnSending("a")
			c.OnStart("a", "s", 500)
			c.OnResponse("a", 200, 1)
		}, true},
		"success of an execution without a response": {func(c *Checker) {
			c.OnSent("a", false)
			c.OnSending("a")
			c.OnStart("a", "s", noResponse)
			c.OnResponse("a", 200, 1)
		}, true},
		"response of an unknown execution": {func(c *Checker) { c.OnSent("a", false); c.OnResponse("a", 200, 1) }, true},
	} {
		checker := NewChecker()
		c.record(checker)
		if violations, _ := checker.Report(); (len(violations) > 0) != c.violation {
			t.Errorf("%s: violations %v", name, violations)
		}
	}
}
