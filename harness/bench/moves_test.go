package bench

import (
	"strings"
	"testing"
)

// TestMoves guards against a simulation that cannot distinguish good versions from bad
// ones, and against results that differ between runs with the same seed.
func TestMoves(t *testing.T) {
	for _, c := range moveCases() {
		if !strings.HasPrefix(c.name, "good") && c.name != "fails_at_once" {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first, again := runMove(1, c, moveWindow, false), runMove(1, c, moveWindow, false)
			if first != again {
				t.Errorf("results differ: %+v and %+v", first, again)
			}
			if first.detected() != c.bad || first.done == c.bad {
				t.Errorf("result %+v, bad version: %v", first, c.bad)
			}
		})
	}
}
