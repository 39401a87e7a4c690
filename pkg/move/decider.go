package move

import (
	"maps"
	"slices"
	"time"
)

// DeciderOptions configure a Decider.
type DeciderOptions struct {
	// Self is the instance name of this node.
	Self string
	// FalseAlarmRate bounds the probability that the move's deciders together roll back
	// a good version; 0 means DefaultFalseAlarmRate.
	FalseAlarmRate float64
	// Routes are the configured routes of the service. Other routes are tested at a
	// lower false-alarm rate.
	Routes []string
	// Metrics may be nil.
	Metrics *Metrics
}

// Decider makes the decisions on one move at one of the move's decider nodes. All
// methods must be called from one goroutine, which owns the state.
type Decider struct {
	options DeciderOptions
	plan    Plan
	state   State
	final   *Outcome // the recorded outcome, nil while it is not known

	reports     map[reportKey]*storedReport
	routes      map[string]*routeTest
	extraRoutes int // number of routes not in options.Routes

	lastDecide, resumedAt time.Time
	lastUpdate            time.Time
	incident              incident

	// stage is the current stage of the move, stageSince the time it was reached, and
	// stageCalls the number of calls to the new version in it.
	stage      uint8
	stageSince time.Time
	stageCalls uint64

	upstreams upstreamCounts
}

// NewDecider returns a decider for the plan's move.
func NewDecider(plan Plan, o DeciderOptions) *Decider {
	if o.FalseAlarmRate <= 0 {
		o.FalseAlarmRate = DefaultFalseAlarmRate
	}
	d := &Decider{
		options: o, plan: plan, state: State{Move: plan.ID},
		reports: make(map[reportKey]*storedReport), routes: make(map[string]*routeTest),
	}
	for _, route := range o.Routes {
		d.routes[route] = &routeTest{name: route, threshold: d.threshold(1)}
	}
	return d
}

// threshold returns the e-value that justifies a rollback on a route. fraction is the
// route's fraction of the false-alarm rate of one configured route. By the union bound
// over deciders, routes and kinds, the probability of a false alarm in the move stays
// within the configured rate.
func (d *Decider) threshold(fraction float64) float64 {
	portions := float64(DeciderCount * (len(d.options.Routes) + 1))
	return portions / (d.options.FalseAlarmRate * fraction * concurrentFraction)
}

// SetPlan replaces the plan after an edit of the same move; a plan of another move is
// ignored. The stage reached under the earlier plan is kept.
func (d *Decider) SetPlan(now time.Time, plan Plan) {
	if plan.ID != d.plan.ID {
		return
	}
	d.state.Stage = max(d.state.Stage, min(Stage(d.plan, d.state, now), controlStage))
	d.plan = plan
}

// MergeState merges a move state received by gossip.
func (d *Decider) MergeState(m State) { d.state = d.state.Merge(m) }

// SetOutcome sets the recorded outcome, after which the decider makes no more
// decisions.
func (d *Decider) SetOutcome(o Outcome) {
	if o.Move == d.plan.ID && d.final == nil {
		d.final = &o
		d.options.Metrics.deleteGauges(o.Move)
	}
}

// SetUpstreams sets the number of live upstreams of the old and the new version that
// this node knows.
func (d *Decider) SetUpstreams(now time.Time, from, to int) {
	d.upstreams.set(now, from, to)
}

// Merge merges a node's report. Each count is tested once, regardless of how often and
// in which order copies of the report arrive. A report of another move is ignored
// without an error. Errors match ErrReport.
func (d *Decider) Merge(p Report) error {
	if err := p.Check(); err != nil || p.Move != d.plan.ID {
		d.options.Metrics.countReport("refused")
		return err
	}
	key := reportKey{p.Instance, p.Incarnation}
	stored := d.reports[key]
	if stored == nil {
		if len(d.reports) >= maxReports {
			d.options.Metrics.countReport("refused")
			return reportError("was rejected: the limit of %d reports per move is reached", maxReports)
		}
		stored = &storedReport{}
		d.reports[key] = stored
	}
	result := "unchanged"
	stored.merge(p, func(stage uint8, route string, added Pair) {
		result = "merged"
		d.add(stage, route, added)
	})
	d.options.Metrics.countReport(result)
	return nil
}

// add adds newly merged counts of a route. It drops those of new routes beyond
// maxRoutes.
func (d *Decider) add(stage uint8, route string, added Pair) {
	test := d.routes[route]
	if test == nil {
		if len(d.routes) >= maxRoutes {
			return
		}
		// The fractions 1/(i(i+1)) of the routes that are not configured sum to at most
		// 1.
		d.extraRoutes++
		test = &routeTest{name: route, threshold: d.threshold(1 / float64(d.extraRoutes*(d.extraRoutes+1)))}
		d.routes[route] = test
	}
	test.add(stage, added)
	if stage == d.stage {
		d.stageCalls += added.New.Calls
	}
}

// Decide tests new evidence and returns the action to take now. It is called about once
// per second.
func (d *Decider) Decide(now time.Time) Decision {
	if d.final != nil {
		d.state = d.state.Merge(d.final.State())
		return Decision{State: d.state}
	}
	if d.lastDecide.IsZero() || now.Sub(d.lastDecide) > pauseGap {
		d.resumedAt = now
	}
	d.lastDecide = now
	d.updateTests(now)
	if reason := d.rollbackReason(now); reason != "" && !d.state.RolledBack {
		d.state.RolledBack, d.state.Reason = true, reason
		d.options.Metrics.countRollback(reason)
	}
	if d.state.RolledBack {
		return Decision{State: d.state, Outcome: d.outcome(now, ResultRolledBack, d.state.Reason)}
	}
	holding := d.suspicious()
	d.raiseStage(now, holding)
	decision := Decision{Holding: holding}
	if d.state.Done || d.shouldFinish(now, holding) {
		d.state.Done = true
		decision.Outcome = d.outcome(now, ResultDone, "")
	}
	decision.State = d.state
	d.options.Metrics.setGauges(d.plan.ID, d.state.Stage, holding)
	return decision
}

// updateTests tests the evidence received since the last update.
func (d *Decider) updateTests(now time.Time) {
	if now.Sub(d.lastUpdate) < updateInterval {
		return
	}
	d.lastUpdate = now
	var old Counts
	for _, test := range d.routes {
		old = old.add(test.recent)
	}
	v := updateContext{
		stage:     Stage(d.plan, d.state, now),
		incident:  d.incident.observe(now, old),
		upstreams: d.upstreams.to,
	}
	for _, test := range d.routes {
		test.update(now, d.plan.window(), v)
	}
}

// rollbackReason returns the reason for which the move must be rolled back now, or ""
// if there is none.
func (d *Decider) rollbackReason(now time.Time) string {
	if d.plan.Withdraw {
		return ReasonWithdrawn
	}
	for _, test := range d.routes {
		if test.conclusive(failure) {
			return ReasonFailures
		}
	}
	for _, test := range d.routes {
		if test.conclusive(slow) {
			return ReasonSlow
		}
	}
	window := d.plan.window()
	if window > 0 && d.upstreams.missing(now, d.plan.at(upstreamDeadline), min(noUpstreamTimeout, window/8)) {
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

// raiseStage records the stage that the schedule has reached. It raises the stage early
// if the current one has lasted its bake time, with calls to the new version and
// without suspicious evidence.
func (d *Decider) raiseStage(now time.Time, holding bool) {
	current := min(Stage(d.plan, d.state, now), controlStage)
	if d.stageSince.IsZero() {
		d.stage, d.stageSince = current, now
		if current == 0 && !d.plan.AcceptedAt.IsZero() {
			d.stageSince = d.plan.AcceptedAt
		}
	}
	if current > d.stage {
		d.stage, d.stageSince, d.stageCalls = current, now, 0
	}
	if current > d.state.Stage {
		d.state.Stage = current
		d.options.Metrics.countStageRaise("schedule")
	}
	if current >= controlStage || holding || d.catchingUp(now) || d.stageCalls < minNewCalls {
		return
	}
	bake := time.Duration(bakeTime[current] * float64(d.plan.window()))
	if d.plan.window() > 0 && now.Sub(d.stageSince) >= bake {
		d.state.Stage = current + 1
		d.options.Metrics.countStageRaise("baked")
	}
}

// catchingUp reports whether the decider started or resumed within the last catchUp, so
// that move states and evidence may still be missing.
func (d *Decider) catchingUp(now time.Time) bool {
	return now.Sub(d.resumedAt) < catchUp
}

// shouldFinish reports whether the outcome `done` is due.
func (d *Decider) shouldFinish(now time.Time, holding bool) bool {
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

// outcome returns an outcome with the current evidence.
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
