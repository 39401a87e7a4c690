package move

import (
	"maps"
	"slices"
	"time"
)

// DeciderOptions configure a Decider.
type DeciderOptions struct {
	// Self is the instance of the deciding node.
	Self string
	// FalseAlarmRate bounds the probability that a good version is taken back by
	// the move's deciders together; 0 means DefaultFalseAlarmRate.
	FalseAlarmRate float64
	// Routes are the routes of the service; other routes are tested at a lower
	// false-alarm rate.
	Routes []string
	// Metrics may be nil.
	Metrics *Metrics
}

// Decider decides one move at one of its deciders. All methods are called from one
// goroutine, which owns the state.
type Decider struct {
	options DeciderOptions
	plan    Plan
	mark    State
	final   *Outcome

	parts  map[partKey]*keptPart
	routes map[string]*routeTest
	others int // routes beyond options.Routes

	lastDecide, resumedAt time.Time
	lastFold              time.Time
	incident              incident

	// stage is the step that the move was at, since stageSince, and stageCalls the
	// calls of the new version in it.
	stage      uint8
	stageSince time.Time
	stageCalls uint64

	upstreams upstreams
}

// NewDecider returns a decider of the plan's move.
func NewDecider(plan Plan, o DeciderOptions) *Decider {
	if o.FalseAlarmRate <= 0 {
		o.FalseAlarmRate = DefaultFalseAlarmRate
	}
	d := &Decider{
		options: o, plan: plan, mark: State{Move: plan.ID},
		parts: make(map[partKey]*keptPart), routes: make(map[string]*routeTest),
	}
	for _, route := range o.Routes {
		d.routes[route] = &routeTest{name: route, threshold: d.threshold(1)}
	}
	return d
}

// threshold returns the e-value for a take-back on a route that has the given part
// of one route's portion of the false-alarm rate. By the union bound over deciders,
// routes and kinds, the false alarms of the move stay within the rate.
func (d *Decider) threshold(part float64) float64 {
	portions := float64(DeciderCount * (len(d.options.Routes) + 1))
	return portions / (d.options.FalseAlarmRate * part * concurrentPart)
}

// SetPlan sets an edited plan of the same move. The stage that the earlier plan has
// reached is kept.
func (d *Decider) SetPlan(now time.Time, plan Plan) {
	if plan.ID != d.plan.ID {
		return
	}
	d.mark.Stage = max(d.mark.Stage, min(Stage(d.plan, d.mark, now), controlStage))
	d.plan = plan
}

// MergeState merges a mark that arrived by gossip.
func (d *Decider) MergeState(m State) { d.mark = d.mark.Merge(m) }

// SetOutcome tells the decider the recorded outcome, which ends its work.
func (d *Decider) SetOutcome(o Outcome) {
	if o.Move == d.plan.ID && d.final == nil {
		d.final = &o
		d.options.Metrics.finished(o.Move)
	}
}

// SetUpstreams tells how many upstreams of each version the node knows as alive.
func (d *Decider) SetUpstreams(now time.Time, from, to int) {
	d.upstreams.set(now, from, to)
}

// Merge merges a node's evidence. Counts are tested once, however often and in
// whatever order their copies arrive.
func (d *Decider) Merge(p Report) error {
	if err := p.Check(); err != nil || p.Move != d.plan.ID {
		d.options.Metrics.part("refused")
		return err
	}
	key := partKey{p.Instance, p.Incarnation}
	kept := d.parts[key]
	if kept == nil {
		if len(d.parts) >= maxParts {
			d.options.Metrics.part("refused")
			return partError("is one too many: %d parts are kept", maxParts)
		}
		kept = &keptPart{}
		d.parts[key] = kept
	}
	result := "unchanged"
	kept.merge(p, func(stage uint8, route string, added Pair) {
		result = "merged"
		d.add(stage, route, added)
	})
	d.options.Metrics.part(result)
	return nil
}

// add takes in counts of a route that were not merged before.
func (d *Decider) add(stage uint8, route string, added Pair) {
	test := d.routes[route]
	if test == nil {
		if len(d.routes) >= maxRoutes {
			return
		}
		// The portions 1/(i(i+1)) of the other routes sum to at most 1.
		d.others++
		test = &routeTest{name: route, threshold: d.threshold(1 / float64(d.others*(d.others+1)))}
		d.routes[route] = test
	}
	test.add(stage, added)
	if stage == d.stage {
		d.stageCalls += added.New.Calls
	}
}

// Decide folds new evidence and returns what is to be done now. It is called about
// once per second.
func (d *Decider) Decide(now time.Time) Decision {
	if d.final != nil {
		d.mark = d.mark.Merge(d.final.State())
		return Decision{State: d.mark}
	}
	if d.lastDecide.IsZero() || now.Sub(d.lastDecide) > pauseGap {
		d.resumedAt = now
	}
	d.lastDecide = now
	d.fold(now)
	if reason := d.takeBackReason(now); reason != "" && !d.mark.RolledBack {
		d.mark.RolledBack, d.mark.Reason = true, reason
		d.options.Metrics.tookBack(reason)
	}
	if d.mark.RolledBack {
		return Decision{State: d.mark, Outcome: d.outcome(now, ResultRolledBack, d.mark.Reason)}
	}
	holding := d.suspicious()
	d.raiseStage(now, holding)
	decision := Decision{Holding: holding}
	if d.mark.Done || d.mayFinish(now, holding) {
		d.mark.Done = true
		decision.Outcome = d.outcome(now, ResultDone, "")
	}
	decision.State = d.mark
	d.options.Metrics.state(d.plan.ID, d.mark.Stage, holding)
	return decision
}

// fold tests the evidence that arrived since the last fold.
func (d *Decider) fold(now time.Time) {
	if now.Sub(d.lastFold) < foldInterval {
		return
	}
	d.lastFold = now
	var old Counts
	for _, test := range d.routes {
		old = old.add(test.recent)
	}
	v := view{
		stage:     Stage(d.plan, d.mark, now),
		incident:  d.incident.observe(now, old),
		upstreams: d.upstreams.to,
	}
	for _, test := range d.routes {
		test.fold(now, d.plan.window(), v)
	}
}

// takeBackReason returns why the move must be taken back now, or "".
func (d *Decider) takeBackReason(now time.Time) string {
	if d.plan.Withdraw {
		return ReasonWithdrawn
	}
	for _, test := range d.routes {
		if test.bad(failure) {
			return ReasonFailures
		}
	}
	for _, test := range d.routes {
		if test.bad(slow) {
			return ReasonSlow
		}
	}
	window := d.plan.window()
	if window > 0 && d.upstreams.missing(now, d.plan.at(upstreamBy), min(upstreamGoneFor, window/8)) {
		return ReasonNoUpstream
	}
	return ""
}

func (d *Decider) suspicious() bool {
	for _, test := range d.routes {
		if test.suspicious() {
			return true
		}
	}
	return false
}

// raiseStage records the stage that the schedule has reached, and raises it early
// if the step has run for its bake time with calls and without suspicion.
func (d *Decider) raiseStage(now time.Time, holding bool) {
	current := min(Stage(d.plan, d.mark, now), controlStage)
	if d.stageSince.IsZero() {
		d.stage, d.stageSince = current, now
		if current == 0 && !d.plan.AcceptedAt.IsZero() {
			d.stageSince = d.plan.AcceptedAt
		}
	}
	if current > d.stage {
		d.stage, d.stageSince, d.stageCalls = current, now, 0
	}
	if current > d.mark.Stage {
		d.mark.Stage = current
		d.options.Metrics.raised("schedule")
	}
	if current >= controlStage || holding || d.catchingUp(now) || d.stageCalls < minNewCalls {
		return
	}
	bake := time.Duration(bakeFor[current] * float64(d.plan.window()))
	if d.plan.window() > 0 && now.Sub(d.stageSince) >= bake {
		d.mark.Stage = current + 1
		d.options.Metrics.raised("baked")
	}
}

// catchingUp reports whether the decider has just started or was just paused, so
// that marks and evidence may be missing.
func (d *Decider) catchingUp(now time.Time) bool {
	return now.Sub(d.resumedAt) < catchUp
}

// mayFinish reports whether `done` is to be decided.
func (d *Decider) mayFinish(now time.Time, holding bool) bool {
	if d.catchingUp(now) {
		return false
	}
	if d.plan.window() == 0 {
		return !now.Before(d.plan.FinishBy)
	}
	if holding {
		return !now.Before(d.plan.at(suspiciousDoneAt))
	}
	return !now.Before(d.plan.at(doneAt))
}

// outcome returns the outcome with the evidence so far.
func (d *Decider) outcome(now time.Time, result, reason string) *Outcome {
	o := &Outcome{
		Move: d.plan.ID, Result: result, Reason: reason,
		Decider: d.options.Self, DecidedAt: now.UTC().Truncate(time.Millisecond),
	}
	strongest := 0.0
	for _, name := range slices.Sorted(maps.Keys(d.routes)) {
		test := d.routes[name]
		o.Routes = append(o.Routes, test.record())
		k := failure
		if reason == ReasonSlow {
			k = slow
		}
		if strength := test.evidence(k) / test.threshold; strength > strongest && (reason == ReasonSlow || reason == ReasonFailures) {
			strongest, o.Route = strength, name
		}
	}
	return o
}
