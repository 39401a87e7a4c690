package placement

import "time"

// excludeOutliers removes servers whose failure rate far exceeds the mean of the other
// servers of the service. A server that fails fast reports little load and would
// otherwise attract more requests than the healthy ones. A removed server becomes
// eligible again when its failure rate, which decays with the age of the report, has
// fallen far enough.
func excludeOutliers(now time.Time, candidates []*node) []*node {
	if len(candidates) < 2 {
		return candidates
	}
	sum := 0.0
	for _, n := range candidates {
		sum += n.failureRate(now)
	}
	var healthy []*node
	for _, n := range candidates {
		others := (sum - n.failureRate(now)) / float64(len(candidates)-1)
		if n.failureRate(now)-others <= outlierExcess {
			healthy = append(healthy, n)
		}
	}
	if len(healthy) == 0 {
		return candidates
	}
	return healthy
}

// excludeUnresponsive removes servers that requests may not reach, unless there are no
// others.
func excludeUnresponsive(candidates []*node) []*node {
	responsive := make([]*node, 0, len(candidates))
	for _, n := range candidates {
		if n.executor.Responsive() {
			responsive = append(responsive, n)
		}
	}
	if len(responsive) == 0 {
		return candidates
	}
	return responsive
}
