package config

import "time"

// moveEdit validates the changes of an edit to the moves of a section and sets the time
// of acceptance of new moves.
type moveEdit struct {
	list     *problemList
	now      time.Time
	outcomes map[string]MoveResult
}

// check compares the services of the section before and after the edit. It changes the
// moves of after in place.
func (e moveEdit) check(before, after Section) {
	edited := map[string]bool{}
	previous := map[string]Service{}
	for _, s := range before.Services {
		previous[s.Name] = s
	}
	for _, s := range after.Services {
		edited[s.Name] = true
		old, exists := previous[s.Name]
		if exists {
			e.checkVersionChange(old, s)
		}
		switch {
		case s.Move != nil && exists && old.Move != nil && old.Move.ID == s.Move.ID:
			e.checkExistingMove(old, s)
		case s.Move != nil:
			e.checkNewMove(s)
			fallthrough
		default:
			if exists {
				e.checkRemovedMove(old)
			}
		}
	}
	for _, s := range before.Services {
		if !edited[s.Name] {
			e.checkRemovedMove(s)
		}
	}
}

// checkVersionChange rejects a change of version without a finished move. Otherwise all
// traffic would go at once to a version that was never tested with a small share.
func (e moveEdit) checkVersionChange(old, s Service) {
	want := old.Version
	done := old.Move != nil && e.outcomes[old.Move.ID] == MoveDone
	if done {
		want = old.Move.To
	}
	if s.Version == want {
		return
	}
	if done {
		serviceScope(e.list, s.Name).add("version", "state version "+want+" and remove the move or replace it by a new one",
			"move %s is done, so version %s serves the traffic, not %s", old.Move.ID, want, s.Version)
		return
	}
	serviceScope(e.list, s.Name).add("version", "keep version "+want+" and state a move to "+s.Version,
		"version %s serves the traffic; only a move can change it", want)
}

func (e moveEdit) checkRemovedMove(old Service) {
	if old.Move == nil {
		return
	}
	if _, decided := e.outcomes[old.Move.ID]; !decided {
		serviceScope(e.list, old.Name).add("move", "set withdraw to true on move "+old.Move.ID+" and wait for its outcome",
			"move %s has no outcome yet and may not be removed or replaced", old.Move.ID)
	}
}

func (e moveEdit) checkNewMove(s Service) {
	if _, decided := e.outcomes[s.Move.ID]; decided {
		serviceScope(e.list, s.Name).add("move.id", "choose an id that was never used", "move %s already has an outcome", s.Move.ID)
	}
	if s.Move.Withdraw {
		serviceScope(e.list, s.Name).add("move.withdraw", "leave withdraw out", "a new move cannot be withdrawn")
	}
	e.checkFinishBy(s)
	s.Move.AcceptedAt = e.now.Round(0).UTC()
}

func (e moveEdit) checkExistingMove(old, s Service) {
	if s.Move.To != old.Move.To {
		serviceScope(e.list, s.Name).add("move.to", "withdraw the move and state a new one with another id",
			"move %s has target version %s, which may not be changed to %s", s.Move.ID, old.Move.To, s.Move.To)
	}
	if old.Move.Withdraw && !s.Move.Withdraw {
		serviceScope(e.list, s.Name).add("move.withdraw", "state a new move with another id", "move %s is withdrawn, which cannot be undone", s.Move.ID)
	}
	if !s.Move.FinishBy.Equal(old.Move.FinishBy) {
		e.checkFinishBy(s)
	}
	s.Move.AcceptedAt = old.Move.AcceptedAt
}

func (e moveEdit) checkFinishBy(s Service) {
	if !s.Move.FinishBy.After(e.now) {
		serviceScope(e.list, s.Name).add("move.finish_by", "state a later time",
			"%s is not in the future", s.Move.FinishBy.Format(time.RFC3339))
	}
}
