package member

import (
	"cmp"
	"slices"
)

// Score is the rendezvous-hash score of an instance for a key.
func Score(key, instance string) uint64 {
	return mix(hashString(hashString(fnvOffset, key), instance))
}

// Rank orders members by descending rendezvous score for key. All nodes with the
// same members compute the same order.
func Rank(key string, members []Member) []Member {
	type scored struct {
		score uint64
		m     *Member
	}
	list := make([]scored, len(members))
	for i := range members {
		list[i] = scored{Score(key, members[i].Instance), &members[i]}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.m.Instance, b.m.Instance)
	})
	out := make([]Member, len(list))
	for i := range list {
		out[i] = *list[i].m
	}
	return out
}

// MinRevisionReplicas orders the members that may store a copy of an instance's minimum
// revision, the lowest one that the instance may serve, best first: by rendezvous score,
// with one member of each failure domain other than the instance's own before the rest,
// and members of its own domain last. The first two are its replicas.
func MinRevisionReplicas(instance, domain string, members []Member) []Member {
	ranked := Rank(instance, members)
	used := map[string]bool{domain: true}
	var distinct, other, own []Member
	for _, m := range ranked {
		switch {
		case m.Instance == instance:
		case m.FailureDomain == domain:
			own = append(own, m)
		case used[m.FailureDomain]:
			other = append(other, m)
		default:
			used[m.FailureDomain] = true
			distinct = append(distinct, m)
		}
	}
	return append(append(distinct, other...), own...)
}
