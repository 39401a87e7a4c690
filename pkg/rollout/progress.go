package rollout

import "time"

// source is one process that counts for one incarnation of a server.
type source struct {
	incarnation string
	process     uint64
}

// progress is what a node knows of one order.
type progress struct {
	order   Order
	started time.Time
	state   State
	// recorded tells that the state stands in the store.
	recorded bool
	// total and exposed count this node's requests of the service since the
	// order, and those that went to the target.
	total, exposed float64
	evidence       map[source]Evidence
	// suspect tells that the target may be bad, without proof yet; it does not
	// take over then.
	suspect bool
}

// wantsTarget decides whether the next request goes to the target.
func (p *progress) wantsTarget(now time.Time, bounds Bounds, nodes int) bool {
	p.total++
	allowed := capMargin * (bounds.Share*p.total + bounds.Extra/float64(max(nodes, 1)))
	if p.exposed+1 > allowed {
		return false
	}
	want := p.exposed < canaryShare*p.total
	if p.takingOver(now) && !p.suspect {
		want = true
	}
	if want {
		p.exposed++
	}
	return want
}

// elapsed is the time since the order in milliseconds.
func (p *progress) elapsed(now time.Time) int64 { return now.Sub(p.started).Milliseconds() }

// recordAt is when the take-over is recorded.
func (p *progress) recordAt() time.Time {
	return p.started.Add(p.order.Window - recordMargin)
}

func (p *progress) takingOver(now time.Time) bool {
	shift := time.Duration(takeOverShare * float64(p.order.Window))
	return !now.Before(p.recordAt().Add(-shift))
}

// judge returns the verdict on the target and the number of its responses. It
// notes whether the target is suspect.
func (p *progress) judge() (Verdict, string, uint32) {
	target, others := make(map[string]RouteEvidence), make(map[string]RouteEvidence)
	responses := uint32(0)
	for _, e := range p.evidence {
		into := others
		if e.Version == p.order.Target {
			into = target
		}
		for route, r := range e.Routes {
			sum := into[route]
			sum.merge(r)
			into[route] = sum
			if e.Version == p.order.Target {
				responses += r.Total
			}
		}
	}
	hint, _ := Judge(target, others, suspicion)
	p.suspect = hint != ""
	verdict, route := Judge(target, others, proof)
	return verdict, route, responses
}
