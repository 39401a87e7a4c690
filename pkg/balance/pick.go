package balance

import "time"

// candidate is an upstream that may be selected, with its weight in the random draw.
type candidate struct {
	upstream *upstream
	weight   float64
}

func (g *group) pick(now time.Time, version string, exclude map[string]bool) (Endpoint, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	probe, lastResort := g.collect(now, version, exclude)
	if probe != nil && g.rnd.Float64() < probeShare {
		probe.startProbe(now)
		g.metrics.probes.Inc()
		return g.recordPick(probe)
	}
	if len(g.candidates) == 0 {
		if lastResort == nil {
			return Endpoint{}, false
		}
		g.metrics.lastResorts.Inc()
		return g.recordPick(lastResort)
	}
	means := g.serviceMeans(now)
	pool := g.pool(now, means)
	return g.recordPick(g.draw(now, pool, means))
}

func (g *group) recordPick(u *upstream) (Endpoint, bool) {
	g.metrics.picks[u.tier].Inc()
	return u.endpoint, true
}

// collect fills g.candidates in order of tier. It also returns an upstream that is due
// for a probe of its ejection or its unhealthy report, and the ejected upstream to use if
// there are no candidates.
func (g *group) collect(now time.Time, version string, exclude map[string]bool) (probe, lastResort *upstream) {
	g.candidates = g.candidates[:0]
	for t := sameDomain; t < tierCount; t++ {
		for _, u := range g.upstreams {
			if u.tier != t || (version != "" && u.endpoint.Version != version) ||
				exclude[u.endpoint.Instance] || now.Before(u.excludedUntil) {
				continue
			}
			if probe == nil && u.probeDue(now) {
				probe = u
			}
			if !u.health.ejected {
				g.candidates = append(g.candidates, candidate{u, u.ramp(now)})
				continue
			}
			if lastResort == nil || u.health.ejectedUntil.Before(lastResort.health.ejectedUntil) {
				lastResort = u
			}
		}
	}
	g.normalise()
	return probe, lastResort
}

// normalise scales the weights so that the highest one is 1. If all upstreams are cold,
// for example after a start of this node, none of them needs a reduced share.
func (g *group) normalise() {
	highest := 0.0
	for _, c := range g.candidates {
		highest = max(highest, c.weight)
	}
	for i := range g.candidates {
		g.candidates[i].weight /= highest
	}
}

// pool returns the candidates to draw from: those of the nearest tier, and with the
// spillover probability also those of the next tier, and so on.
func (g *group) pool(now time.Time, means serviceMeans) []candidate {
	end := g.tierEnd(0)
	for end < len(g.candidates) {
		next := g.tierEnd(end)
		if g.rnd.Float64() >= spilloverProbability(now, means, g.candidates[:end], g.candidates[end:next]) {
			break
		}
		end = next
	}
	return g.candidates[:end]
}

// tierEnd returns the end index of the tier that starts at index from.
func (g *group) tierEnd(from int) int {
	end := from
	for end < len(g.candidates) && g.candidates[end].upstream.tier == g.candidates[from].upstream.tier {
		end++
	}
	return end
}

// spilloverProbability returns the probability with which a call may use the farther
// candidates. It increases with the utilisation of the nearer candidates and with the
// ratio of their latency to that of the farther ones.
func spilloverProbability(now time.Time, means serviceMeans, near, far []candidate) float64 {
	nearer, farther := summarise(now, means, near), summarise(now, means, far)
	if !farther.observed {
		return max(exploreUnknown, interpolate(nearer.utilisation, spillStart, spillFull))
	}
	byLoad := interpolate(nearer.utilisation, spillStart, spillFull)
	byLatency := interpolate(nearer.latency/farther.latency, slowStart, slowFull)
	return max(exploreShare, byLoad, byLatency)
}

// summary aggregates the candidates of a tier.
type summary struct {
	utilisation float64 // running and queued calls per slot
	latency     float64 // mean expected latency in nanoseconds
	observed    bool    // whether any latency was observed
}

func summarise(now time.Time, means serviceMeans, candidates []candidate) summary {
	var s summary
	var load, slots float64
	for _, c := range candidates {
		u := c.upstream
		room := u.slots * c.weight
		load += u.load(now, means, c.weight) * room
		slots += room
		s.latency += float64(u.expectedLatency(now, means))
		s.observed = s.observed || u.latency > 0
	}
	s.utilisation = load / slots
	s.latency /= float64(len(candidates))
	return s
}

// draw draws two different candidates at random by weight and returns the one with the
// lower cost. A small share of calls skips the comparison, so that an upstream whose
// cost exceeds that of all others is still observed.
func (g *group) draw(now time.Time, pool []candidate, means serviceMeans) *upstream {
	total := 0.0
	for _, c := range pool {
		total += c.weight
	}
	first := g.drawOne(pool, total, -1)
	if len(pool) == 1 || g.rnd.Float64() < randomPickShare {
		return pool[first].upstream
	}
	second := g.drawOne(pool, total-pool[first].weight, first)
	a, b := pool[first], pool[second]
	if b.upstream.cost(now, means, b.weight) < a.upstream.cost(now, means, a.weight) {
		return b.upstream
	}
	return a.upstream
}

// drawOne returns the index of a random candidate, drawn by weight, other than skip.
func (g *group) drawOne(pool []candidate, total float64, skip int) int {
	left := g.rnd.Float64() * total
	last := -1
	for i, c := range pool {
		if i == skip {
			continue
		}
		last = i
		if left -= c.weight; left < 0 {
			break
		}
	}
	return last
}

// interpolate maps x linearly from [low, high] to [0, 1] and clamps the result.
func interpolate(x, low, high float64) float64 {
	return min(max((x-low)/(high-low), 0), 1)
}
