package placement

// coldShare splits the candidates into the cold servers and the others, and returns the probability
// with which a cold one is chosen. That is their share of the capacity of all, so that they get
// what they take when all servers are in use, and less otherwise. Compared by cost they would get
// nothing: a server that runs less than one request at a time looks full. In a failure domain of
// their own they would get all of its requests. Unless there are servers of both sorts, all
// candidates compete, and the results mean nothing.
func coldShare(candidates []*node, e estimate) (cold, others []*node, share float64) {
	coldRate, otherRate := 0.0, 0.0
	for _, n := range candidates {
		if n.server.Limited && n.server.ColdLimit {
			cold = append(cold, n)
			coldRate += min(n.server.RequestLimit, e.capacity(n)) // a false limit must not draw requests
		}
	}
	if len(cold) == 0 || len(cold) == len(candidates) {
		return cold, nil, 0
	}
	for _, n := range candidates {
		if !n.server.Limited || !n.server.ColdLimit {
			others = append(others, n)
			otherRate += e.capacity(n)
		}
	}
	return cold, others, coldRate / (coldRate + otherRate)
}
