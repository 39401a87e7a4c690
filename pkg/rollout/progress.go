package rollout

import "time"

// source identifies one process that counts the responses of one server incarnation.
type source struct {
	incarnation string
	process     uint64
}

// progress is the state of one order at this node.
type progress struct {
	order   Order
	started time.Time
	state   State
	// recorded means that the state was taken from the record in the store.
	recorded bool
	// total counts this node's requests to the service since the start of the order;
	// exposed counts those of them sent to the target.
	total, exposed float64
	evidence       map[source]Evidence
	// suspect means that the evidence against the target is not sufficient for a
	// rollback, but prevents its takeover.
	suspect bool
}

// chooseTarget decides whether the next request goes to the target, and counts it.
func (p *progress) chooseTarget(now time.Time, bounds Bounds, nodes int) bool {
	p.total++
	allowed := exposureMargin * (bounds.Share*p.total + bounds.Extra/float64(max(nodes, 1)))
	if p.exposed+1 > allowed {
		return false
	}
	want := p.exposed < canaryShare*p.total
	if p.inTakeover(now) && !p.suspect {
		want = true
	}
	if want {
		p.exposed++
	}
	return want
}

// elapsedMs returns the time since the start of the order in milliseconds.
func (p *progress) elapsedMs(now time.Time) int64 { return now.Sub(p.started).Milliseconds() }

// completeAt returns when the order is to be recorded as completed.
func (p *progress) completeAt() time.Time {
	return p.started.Add(p.order.Window - recordMargin)
}

func (p *progress) inTakeover(now time.Time) bool {
	shift := time.Duration(takeoverShare * float64(p.order.Window))
	return !now.Before(p.completeAt().Add(-shift))
}

// judge returns the verdict on the target, the route that caused it and the number of
// the target's responses. It updates p.suspect.
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
	suspicion, _ := Judge(target, others, suspectThreshold)
	p.suspect = suspicion != ""
	verdict, route := Judge(target, others, rollbackThreshold)
	return verdict, route, responses
}
