package placement

import "time"

// withoutOutliers leaves out servers that fail far more requests than the others of the
// service. It answers single servers that fail fast: they look idle, and would draw
// more requests than the sound ones. The servers themselves tell when they may be tried
// again, as their failure rates fade.
func withoutOutliers(now time.Time, candidates []*node) []*node {
	if len(candidates) < 2 {
		return candidates
	}
	sum := 0.0
	for _, n := range candidates {
		sum += n.failing(now)
	}
	var sound []*node
	for _, n := range candidates {
		others := (sum - n.failing(now)) / float64(len(candidates)-1)
		if n.failing(now)-others <= outlierExcess {
			sound = append(sound, n)
		}
	}
	if len(sound) == 0 {
		return candidates
	}
	return sound
}
