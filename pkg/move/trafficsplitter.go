package move

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
)

// maxMoves bounds the moves that a node remembers.
const maxMoves = 1024

// TrafficSplitterOptions configure Shares. The zero value is usable.
type TrafficSplitterOptions struct {
	// Rand returns a number in [0, 1); it must be safe for concurrent use. The
	// default is math/rand/v2.
	Rand func() float64
	// Available reports whether the node knows a usable upstream of the version;
	// it must be cheap and safe for concurrent use. The default is always true.
	Available func(service, version string) bool
	// Started is the start of the process. Until Synced is called, but for settleFor
	// at most, moves accepted before it get no calls: their marks may be lost.
	Started time.Time
}

// TrafficSplitter chooses the version of each call. It is safe for concurrent use; readers
// take no lock.
type TrafficSplitter struct {
	rand      func() float64
	available func(service, version string) bool
	started   time.Time
	synced    atomic.Bool

	mu   sync.Mutex // serializes writers of view
	view atomic.Pointer[sharesView]
}

// sharesView is immutable but for the reached stages of its entries.
type sharesView struct {
	moves    map[string]*shareEntry // by move id
	services map[string]Plan        // running plans by service
}

type shareEntry struct {
	mark    State
	outcome Outcome // zero until the record is known
	planned bool    // a plan of the move has been in force here
	// reached is the highest stage served here. It keeps the share from falling
	// when the clock steps back or an edit moves the deadline out.
	reached *atomic.Uint32
}

// NewTrafficSplitter returns Shares that know no move.
func NewTrafficSplitter(o TrafficSplitterOptions) *TrafficSplitter {
	s := &TrafficSplitter{rand: o.Rand, available: o.Available, started: o.Started}
	if s.rand == nil {
		s.rand = rand.Float64
	}
	if s.available == nil {
		s.available = func(string, string) bool { return true }
	}
	s.view.Store(&sharesView{moves: map[string]*shareEntry{}, services: map[string]Plan{}})
	return s
}

// Version returns the version that a call to the service goes to now. It
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

// Share returns the fraction of calls that this node sends to the new version.
func (s *TrafficSplitter) Share(now time.Time, plan Plan) float64 {
	share, _ := s.share(now, plan)
	return share
}

// share returns the share and the stage that it belongs to. The second result is
// false if the calls tell nothing about the versions: the move has an outcome, is
// taken back, or only one version has an upstream here.
func (s *TrafficSplitter) share(now time.Time, plan Plan) (float64, bool) {
	entry := s.view.Load().moves[plan.ID]
	if entry == nil {
		entry = &noEntry
	}
	switch entry.outcome.Result {
	case ResultDone:
		return 1, false
	case ResultRolledBack:
		return 0, false
	}
	if plan.Withdraw || entry.mark.RolledBack || s.settling(now, plan) {
		return 0, false
	}
	stage := raise(entry.reached, Stage(plan, entry.mark, now))
	if !s.available(plan.Service, plan.To) {
		return 0, false
	}
	if !s.available(plan.Service, plan.From) {
		return 1, true
	}
	return steps[stage], true
}

// settling reports whether marks of the move may be missing after a restart.
func (s *TrafficSplitter) settling(now time.Time, plan Plan) bool {
	return !s.synced.Load() && !s.started.IsZero() &&
		plan.AcceptedAt.Before(s.started) && now.Sub(s.started) < settleFor
}

// SetSynced tells that the marks of a peer, or the outcome rows of all moves in force,
// have been read since the process started.
func (s *TrafficSplitter) SetSynced() { s.synced.Store(true) }

// noEntry stands for a move of which no mark, plan or outcome has arrived.
var noEntry shareEntry

// raise lifts reached to at least stage and returns the higher of both.
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

// SetPlans replaces the plans in force. Marks of moves that had a plan and have
// none any more are forgotten; marks that arrive before their plan are kept.
func (s *TrafficSplitter) SetPlans(now time.Time, plans []Plan) {
	s.change(func(v *sharesView) {
		// The stage that the earlier plan has reached outlives a new deadline.
		for _, plan := range v.services {
			if e := v.moves[plan.ID]; e != nil {
				raise(e.reached, Stage(plan, e.mark, now))
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
				// A later edit can't bring the move back.
				e.mark = e.mark.Merge(State{Move: plan.ID, RolledBack: true, Reason: ReasonWithdrawn})
			}
			v.moves[plan.ID] = &e
		}
		maps.DeleteFunc(v.moves, func(id string, e *shareEntry) bool { return e.planned && !inForce[id] })
	})
}

// MergeState merges a mark and reports whether it changed anything.
func (s *TrafficSplitter) MergeState(m State) bool {
	changed := false
	s.change(func(v *sharesView) {
		if m.Move == "" || v.moves[m.Move] == nil && len(v.moves) >= maxMoves {
			return
		}
		e := v.entry(m.Move)
		merged := e.mark.Merge(m)
		changed = merged != e.mark
		e.mark = merged
		v.moves[m.Move] = &e
	})
	return changed
}

// SetOutcome sets the recorded outcome of a move. It overrides marks and schedule.
func (s *TrafficSplitter) SetOutcome(o Outcome) {
	s.change(func(v *sharesView) {
		if o.Move == "" || v.moves[o.Move] == nil && len(v.moves) >= maxMoves {
			return
		}
		e := v.entry(o.Move)
		e.outcome = o
		v.moves[o.Move] = &e
	})
}

// State returns the merged mark of a move.
func (s *TrafficSplitter) State(id string) State {
	if e := s.view.Load().moves[id]; e != nil {
		return e.mark
	}
	return State{Move: id}
}

// Outcome returns the recorded outcome of a move, if it is known here.
func (s *TrafficSplitter) Outcome(id string) (Outcome, bool) {
	if e := s.view.Load().moves[id]; e != nil && e.outcome.Result != "" {
		return e.outcome, true
	}
	return Outcome{}, false
}

// running returns the plan and stage of the service's move if calls now are
// evidence on it.
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

// change swaps in a changed copy of the view.
func (s *TrafficSplitter) change(edit func(*sharesView)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	next := &sharesView{moves: maps.Clone(old.moves), services: old.services}
	edit(next)
	s.view.Store(next)
}

// entry returns a copy of the move's entry. The reached stage is shared with it.
func (v *sharesView) entry(id string) shareEntry {
	if e := v.moves[id]; e != nil {
		return *e
	}
	return shareEntry{mark: State{Move: id}, reached: new(atomic.Uint32)}
}
