package move

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// maxMoves bounds the number of moves whose state a node stores.
const maxMoves = 1024

// TrafficSplitterOptions configure a TrafficSplitter. The zero value is usable.
type TrafficSplitterOptions struct {
	// Rand returns a number in [0, 1); it must be safe for concurrent use. The
	// default is math/rand/v2.
	Rand func() float64
	// Available reports whether the node knows a usable upstream of the version. It
	// must be fast and safe for concurrent use. The default always returns true.
	Available func(service, version string) bool
	// Started is the start time of the process. The new versions of moves accepted
	// before it get no calls until SetSynced is called, for at most stateWait, because
	// the replicated move states may be missing.
	Started time.Time
}

// TrafficSplitter chooses the version for each call. It is safe for concurrent use;
// readers take no lock.
type TrafficSplitter struct {
	rand      func() float64
	available func(service, version string) bool
	started   time.Time
	synced    atomic.Bool

	mu   sync.Mutex // serializes writers of view
	view atomic.Pointer[splitterView]
}

// splitterView is immutable, except for the reached stages of its entries.
type splitterView struct {
	moves    map[string]*moveEntry // by move id
	services map[string]Plan       // running plans by service
}

type moveEntry struct {
	state   State
	outcome Outcome // zero until the recorded outcome is known
	planned bool    // this node has had a plan of the move in force
	// reached is the highest stage applied by this node. It keeps the share from
	// falling when the clock steps back or an edit extends the deadline.
	reached *atomic.Uint32
}

// NewTrafficSplitter returns a splitter without any moves.
func NewTrafficSplitter(o TrafficSplitterOptions) *TrafficSplitter {
	s := &TrafficSplitter{rand: o.Rand, available: o.Available, started: o.Started}
	if s.rand == nil {
		s.rand = rand.Float64
	}
	if s.available == nil {
		s.available = func(string, string) bool { return true }
	}
	s.view.Store(&splitterView{moves: map[string]*moveEntry{}, services: map[string]Plan{}})
	return s
}

// Version returns the version to which a call to the service is routed now. It
// implements proxy.VersionChooser.
func (s *TrafficSplitter) Version(now time.Time, service config.Service, _ string) string {
	plan, ok := PlanOf(service)
	if !ok {
		return service.Version
	}
	share, _ := s.share(now, plan)
	if share <= 0 || share < 1 && s.rand() >= share {
		return plan.From
	}
	return plan.To
}

// Share returns the fraction of calls that this node routes to the new version.
func (s *TrafficSplitter) Share(now time.Time, plan Plan) float64 {
	share, _ := s.share(now, plan)
	return share
}

// share returns the share of the new version. The second result is false if the calls
// are no evidence on the versions: the move has an outcome or is rolled back, its state
// may be missing after a restart, or the new version has no upstream known to this
// node.
func (s *TrafficSplitter) share(now time.Time, plan Plan) (float64, bool) {
	entry := s.view.Load().moves[plan.ID]
	if entry == nil {
		entry = &emptyEntry
	}
	switch entry.outcome.Result {
	case ResultDone:
		return 1, false
	case ResultRolledBack:
		return 0, false
	}
	if plan.Withdraw || entry.state.RolledBack || s.awaitingState(now, plan) {
		return 0, false
	}
	stage := raise(entry.reached, Stage(plan, entry.state, now))
	if !s.available(plan.Service, plan.To) {
		return 0, false
	}
	if !s.available(plan.Service, plan.From) {
		return 1, true
	}
	return steps[stage], true
}

// awaitingState reports whether the replicated state of the move may be missing after a
// restart.
func (s *TrafficSplitter) awaitingState(now time.Time, plan Plan) bool {
	return !s.synced.Load() && !s.started.IsZero() &&
		plan.AcceptedAt.Before(s.started) && now.Sub(s.started) < stateWait
}

// SetSynced records that the move states of a peer have been merged since the process
// started.
func (s *TrafficSplitter) SetSynced() { s.synced.Store(true) }

// emptyEntry is the entry of a move without state, plan and outcome.
var emptyEntry moveEntry

// raise raises reached to at least stage and returns the higher of both.
func raise(reached *atomic.Uint32, stage uint8) uint8 {
	if reached == nil {
		return stage
	}
	for {
		old := reached.Load()
		if uint32(stage) <= old {
			return uint8(old)
		}
		if reached.CompareAndSwap(old, uint32(stage)) {
			return stage
		}
	}
}

// SetPlans replaces the plans in force. The state of a move whose plan has been removed
// is dropped; state that arrives before the plan is kept.
func (s *TrafficSplitter) SetPlans(now time.Time, plans []Plan) {
	s.update(func(v *splitterView) {
		// The stage reached under the earlier plan also holds under a new deadline.
		for _, plan := range v.services {
			if e := v.moves[plan.ID]; e != nil {
				raise(e.reached, Stage(plan, e.state, now))
			}
		}
		v.services = make(map[string]Plan, len(plans))
		inForce := make(map[string]bool, len(plans))
		for _, plan := range plans {
			v.services[plan.Service] = plan
			inForce[plan.ID] = true
			e := v.entry(plan.ID)
			e.planned = true
			if plan.Withdraw {
				// A withdrawal is permanent; a later edit cannot resume the move.
				e.state = e.state.Merge(State{Move: plan.ID, RolledBack: true, Reason: ReasonWithdrawn})
			}
			v.moves[plan.ID] = &e
		}
		maps.DeleteFunc(v.moves, func(id string, e *moveEntry) bool { return e.planned && !inForce[id] })
	})
}

// MergeState merges a move state and reports whether anything changed. The state of a
// new move is ignored if maxMoves are stored already.
func (s *TrafficSplitter) MergeState(m State) bool {
	changed := false
	s.update(func(v *splitterView) {
		if m.Move == "" || v.moves[m.Move] == nil && len(v.moves) >= maxMoves {
			return
		}
		e := v.entry(m.Move)
		merged := e.state.Merge(m)
		changed = merged != e.state
		e.state = merged
		v.moves[m.Move] = &e
	})
	return changed
}

// SetOutcome sets the recorded outcome of a move. It overrides the move state and the
// schedule. The outcome of a new move is ignored if maxMoves are stored already.
func (s *TrafficSplitter) SetOutcome(o Outcome) {
	s.update(func(v *splitterView) {
		if o.Move == "" || v.moves[o.Move] == nil && len(v.moves) >= maxMoves {
			return
		}
		e := v.entry(o.Move)
		e.outcome = o
		v.moves[o.Move] = &e
	})
}

// State returns the merged state of a move.
func (s *TrafficSplitter) State(id string) State {
	if e := s.view.Load().moves[id]; e != nil {
		return e.state
	}
	return State{Move: id}
}

// Outcome returns the recorded outcome of a move, if this node knows it.
func (s *TrafficSplitter) Outcome(id string) (Outcome, bool) {
	if e := s.view.Load().moves[id]; e != nil && e.outcome.Result != "" {
		return e.outcome, true
	}
	return Outcome{}, false
}

// running returns the plan and the stage of the service's move. The last result is
// false if calls at this time are no evidence on the move.
func (s *TrafficSplitter) running(now time.Time, service string) (Plan, uint8, bool) {
	view := s.view.Load()
	plan, ok := view.services[service]
	if !ok {
		return Plan{}, 0, false
	}
	share, ok := s.share(now, plan)
	if !ok || share == 0 {
		return Plan{}, 0, false
	}
	if share == 1 {
		return plan, fullStage, true
	}
	return plan, uint8(view.moves[plan.ID].reached.Load()), true
}

// plan returns the plan in force of a move.
func (s *TrafficSplitter) plan(id string) (Plan, bool) {
	for _, plan := range s.view.Load().services {
		if plan.ID == id {
			return plan, true
		}
	}
	return Plan{}, false
}

// update replaces the view by an edited copy.
func (s *TrafficSplitter) update(edit func(*splitterView)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	next := &splitterView{moves: maps.Clone(old.moves), services: old.services}
	edit(next)
	s.view.Store(next)
}

// entry returns a copy of the move's entry. The copy shares the reached stage.
func (v *splitterView) entry(id string) moveEntry {
	if e := v.moves[id]; e != nil {
		return *e
	}
	return moveEntry{state: State{Move: id}, reached: new(atomic.Uint32)}
}
