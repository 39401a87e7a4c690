package move

import (
	"fmt"
	"slices"
	"testing"
)

// TestDeciders guards against deciders that depend on the order of the members, that
// change when another member leaves, or that are the same for every move.
func TestDeciders(t *testing.T) {
	var members []string
	for i := range 30 {
		members = append(members, fmt.Sprintf("storefront-%02d", i))
	}
	used := map[string]int{}
	for i := range 1000 {
		id := fmt.Sprintf("move-%d", i)
		deciders := Deciders(id, members)
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		if !slices.Equal(deciders, Deciders(id, reversed)) {
			t.Fatalf("deciders of %s depend on the order of members", id)
		}
		rest := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == deciders[1] })
		if again := Deciders(id, rest); again[0] != deciders[0] || again[1] != deciders[2] {
			t.Fatalf("deciders of %s change from %v to %v", id, deciders, again)
		}
		for _, d := range deciders {
			used[d]++
		}
	}
	for _, m := range members {
		if used[m] < 50 || used[m] > 150 {
			t.Errorf("%s decides %d of 1000 moves, want about 100", m, used[m])
		}
	}
	if got := Deciders("m", []string{"a", "a"}); len(got) != 1 {
		t.Errorf("deciders %v of one member", got)
	}
}
