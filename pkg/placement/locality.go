package placement

// nearby returns the candidates of the given failure domain. For large responses and request
// bodies it returns the node's own server alone, if that is a candidate, which saves the
// transfer between two instances.
func nearby(candidates []*node, from Locality, size, body float64) []*node {
	var local []*node
	for _, n := range candidates {
		if n.name == from.Node && (size >= largeResponseBytes || body > 0) {
			return []*node{n}
		}
		if n.server.FailureDomain == from.FailureDomain {
			local = append(local, n)
		}
	}
	return local
}

// localChance returns the nearby ones of the candidates for the request, and the least number, drawn
// from 0 to 1, with which it goes to them. It returns nil if the request may go to any candidate: the
// same servers, or, for one that was refused, also the others, since the rest of the failure domain
// may be full as well.
func localChance(candidates []*node, e estimate, q *Query) (local []*node, least float64) {
	if len(q.Exclude) > 0 {
		return nil, 0
	}
	local = nearby(candidates, e.from, e.size, e.body)
	if len(local) == 0 || len(local) == len(candidates) {
		return nil, 0
	}
	return local, leastChance(e.meanCost(local), e.meanCost(candidates), q.TargetIn.Seconds())
}

// leastChance returns the least number, drawn from 0 to 1, with which a request runs in the node's
// own failure domain, whose servers have the mean cost local, while all servers have the mean cost
// all. Bytes between failure domains are billed, and a response within its target latency is worth
// the same however early it is, so a request may use a part of the time that would be left
// until the target. The larger the share of that time that staying takes, the more
// requests leave, as drawn by chance: a failure domain whose servers run short
// of room hands over what is missing instead of everything at once. The decision rests on
// means, since the best of many outdated reports would be chosen by all nodes. All times
// are in seconds.
func leastChance(local, all, targetIn float64) float64 {
	if local <= all {
		return 0
	}
	// Without time left, the quotient is infinite: no request stays.
	return (local - all) / (localSlackShare * max(targetIn-all, 0))
}
