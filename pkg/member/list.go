package member

import "slices"

// Members returns all records including this node's and the dead, by instance name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.entries)+1)
	out = append(out, t.self)
	for _, e := range t.entries {
		out = append(out, e.m)
	}
	slices.SortFunc(out, byInstance)
	return out
}

// Others returns the records of other members that are not dead, by instance name.
func (t *Table) Others() []Member {
	out := make([]Member, 0, t.live)
	for _, e := range t.entries {
		if e.live() {
			out = append(out, e.m)
		}
	}
	slices.SortFunc(out, byInstance)
	return out
}
