package rollout

import (
	"math"
	"time"
)

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
	// routes and whole assess the evidence of all nodes, by route and in total, as of the
	// last judgement.
	routes map[string]routeAssessment
	whole  routeAssessment
	// trials are this node's requests by route.
	trials map[string]*trial
}

// trial counts a node's requests on one route, and those that it sent to the target because
// the evidence on the route was behind.
type trial struct {
	total, sent float64
	// sentAt holds when the latest of them were sent, the earliest first.
	sentAt [trialBurst]time.Time
}

// due reports whether a further request may go to the target.
func (t *trial) due(now time.Time) bool { return now.Sub(t.sentAt[0]) >= trialInterval }

// record counts a request that goes to the target.
func (t *trial) record(now time.Time) {
	t.sent++
	copy(t.sentAt[:], t.sentAt[1:])
	t.sentAt[trialBurst-1] = now
}

// chooseTarget decides whether the next request on a route goes to the target, and counts it.
func (p *progress) chooseTarget(now time.Time, route string, bounds Bounds, nodes int) bool {
	p.total++
	t := p.trials[route]
	if t == nil {
		t = &trial{}
		p.trials[route] = t
	}
	t.total++
	toTarget, asTrial := p.toTarget(now, route, t, bounds, nodes)
	if asTrial {
		t.record(now)
	}
	if toTarget {
		p.exposed++
	}
	return toTarget
}

// wouldChooseTarget returns what chooseTarget would, and counts nothing.
func (p *progress) wouldChooseTarget(now time.Time, route string, bounds Bounds, nodes int) bool {
	next, t := *p, trial{}
	if known := p.trials[route]; known != nil {
		t = *known
	}
	next.total++
	t.total++
	toTarget, _ := next.toTarget(now, route, &t, bounds, nodes)
	return toTarget
}

// toTarget decides whether a request on a route, which is counted already, goes to the target, and
// whether it does so because the evidence on the route is behind.
func (p *progress) toTarget(now time.Time, route string, t *trial, bounds Bounds, nodes int) (toTarget, asTrial bool) {
	if p.evidenceBehind(now, route) && p.withinTrialBound(bounds) && t.sent < p.trialShare(route)*t.total && t.due(now) {
		return true, true
	}
	allowed := exposureMargin * (bounds.Share*p.total + bounds.Extra/float64(max(nodes, 1)))
	if p.exposed+1 > allowed {
		return false, false
	}
	return p.exposed < canaryShare*p.total || p.inTakeover(now) && !p.suspect, false
}

// evidenceBehind reports whether the target has given fewer responses on a route than are due
// by now, so that at the end there would be too few to decide.
func (p *progress) evidenceBehind(now time.Time, route string) bool {
	elapsed := float64(now.Sub(p.started)) / (evidenceShare * float64(p.order.Window))
	if elapsed >= 1 {
		return !p.routes[route].cleared()
	}
	return float64(p.routes[route].responses) < evidenceGoal*elapsed
}

// trialShare returns the share of this node's requests on a route that may go to the target
// while the evidence is behind: the first few, since there may be no more, and all of them once
// there is enough to compare with, since the servers of the target may have started late.
func (p *progress) trialShare(route string) float64 {
	a := p.routes[route]
	if a.responses < minResponses || a.all-a.responses >= enoughResponses/2 {
		return 1
	}
	return comparedShare
}

// withinTrialBound reports whether the exposure bound leaves room for a request for lack of
// evidence. Since few requests may all arrive at one node, the bound is not divided.
func (p *progress) withinTrialBound(bounds Bounds) bool {
	return float64(p.whole.responses)+1 <= trialBoundShare*(bounds.Share*float64(p.whole.all)+bounds.Extra)
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
// the target's responses. It updates the assessment of the evidence.
func (p *progress) judge() (Verdict, string, uint32) {
	target, others := make(map[string]RouteEvidence), make(map[string]RouteEvidence)
	var targetSum, othersSum RouteEvidence
	for _, e := range p.evidence {
		into, whole := others, &othersSum
		if e.Version == p.order.Target {
			into, whole = target, &targetSum
		}
		for route, r := range e.Routes {
			sum := into[route]
			sum.merge(r)
			into[route] = sum
			whole.merge(r)
		}
	}
	p.routes = make(map[string]routeAssessment)
	for _, routes := range []map[string]RouteEvidence{target, others} {
		for route := range routes {
			p.routes[route] = assess(target[route], others[route])
		}
	}
	p.whole = assess(targetSum, othersSum)
	p.whole.slow = math.Inf(-1) // routes differ in latency
	suspicion, _ := Judge(target, others, suspectThreshold)
	p.suspect = suspicion != ""
	verdict, route := Judge(target, others, rollbackThreshold)
	return verdict, route, targetSum.Total
}

// mayComplete reports whether the evidence is enough for a takeover.
func (p *progress) mayComplete() bool {
	if p.suspect || !p.whole.cleared() && !p.whole.scarce() {
		return false
	}
	for _, a := range p.routes {
		if a.blocks() {
			return false
		}
	}
	return true
}

// doubtful returns the route, if any, whose failures are reason enough for a rollback by the
// deadline, and whether there is one. The empty route stands for all of them. A service with
// more requests soon has the evidence for a verdict, and loses little by waiting for it.
func (p *progress) doubtful() (string, bool) {
	if p.whole.responses >= quietResponses {
		return "", false
	}
	for route, a := range p.routes {
		if a.doubtful() {
			return route, true
		}
	}
	return "", p.whole.doubtful()
}
