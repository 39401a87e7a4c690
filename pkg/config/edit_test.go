package config

import (
	"testing"
	"time"
)

var now = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// Guards against an edit by a team that does not own the section.
func TestApplyEditPermissions(t *testing.T) {
	tests := map[string]struct {
		exists bool
		team   string
		change func(s *Section)
		ok     bool
	}{
		"owner":                   {true, "icemakers", func(s *Section) { s.Services[0].TimeoutMS = 4000 }, true},
		"other team":              {true, "carts", func(s *Section) {}, false},
		"no team":                 {true, "", func(s *Section) {}, false},
		"owner gives it away":     {true, "icemakers", func(s *Section) { s.Team = "carts" }, false},
		"admin edits":             {true, AdminTeam, func(s *Section) { s.Services[0].TimeoutMS = 4000 }, false},
		"admin assigns":           {true, AdminTeam, func(s *Section) { s.Team = "carts" }, true},
		"admin assigns and edits": {true, AdminTeam, func(s *Section) { s.Team = "carts"; s.Routes = nil }, false},
		"admin creates":           {false, AdminTeam, func(s *Section) {}, true},
		"team creates":            {false, "icemakers", func(s *Section) {}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := Document{Revision: 7}
			if test.exists {
				before = document(pondSection(t))
				before.Revision = 7
			}
			s := pondSection(t)
			test.change(&s)
			after, err := ApplyEditWithoutOutcomes(before, s, test.team, now)
			if (err == nil) != test.ok {
				t.Fatalf("got %v, want ok %v", err, test.ok)
			}
			if test.ok && (after.Revision != 8 || !equalSections(after.Sections["pond"], s)) {
				t.Errorf("got %+v", after)
			}
			if p := Problems(err); !test.ok && (len(p) != 1 || !p[0].Forbidden) {
				t.Errorf("got %v, want one forbidden Problem", err)
			}
		})
	}
}

// Guards against edits that remove a move without an outcome, bypass a move, or undo
// one that is withdrawn or finished.
func TestApplyEditMoves(t *testing.T) {
	later := now.Add(time.Hour)
	running := &Move{ID: "m1", To: "v2", FinishBy: later, AcceptedAt: now.Add(-time.Hour)}
	done, rolledBack := map[string]MoveResult{"m1": MoveDone}, map[string]MoveResult{"m1": MoveRolledBack}
	move := func(id, to string, finish time.Time, withdraw bool) *Move {
		return &Move{ID: id, To: to, FinishBy: finish, Withdraw: withdraw}
	}
	withdrawn := *running
	withdrawn.Withdraw = true
	tests := map[string]struct {
		old      *Move
		outcomes map[string]MoveResult
		version  string
		edit     *Move
		field    string // "" means accepted
	}{
		"no move":                        {nil, nil, "v1", nil, ""},
		"version without move":           {nil, nil, "v2", nil, "version"},
		"new move":                       {nil, nil, "v1", move("m1", "v2", later, false), ""},
		"new move in the past":           {nil, nil, "v1", move("m1", "v2", now, false), "move.finish_by"},
		"new move withdrawn":             {nil, nil, "v1", move("m1", "v2", later, true), "move.withdraw"},
		"new move with an old id":        {nil, done, "v1", move("m1", "v2", later, false), "move.id"},
		"kept":                           {running, nil, "v1", move("m1", "v2", later, false), ""},
		"removed without outcome":        {running, nil, "v1", nil, "move"},
		"replaced without outcome":       {running, nil, "v1", move("m2", "v3", later, false), "move"},
		"other version under way":        {running, nil, "v2", nil, "version"},
		"other target":                   {running, nil, "v1", move("m1", "v3", later, false), "move.to"},
		"later finish":                   {running, nil, "v1", move("m1", "v2", later.Add(1), false), ""},
		"finish in the past":             {running, nil, "v1", move("m1", "v2", now.Add(-1), false), "move.finish_by"},
		"withdraw":                       {running, nil, "v1", move("m1", "v2", later, true), ""},
		"withdraw undone":                {&withdrawn, nil, "v1", move("m1", "v2", later, false), "move.withdraw"},
		"done, version stated":           {running, done, "v2", nil, ""},
		"done, version not stated":       {running, done, "v1", nil, "version"},
		"done, next move":                {running, done, "v2", move("m2", "v3", later, false), ""},
		"done, move back":                {running, done, "v2", move("m2", "v1", later, false), ""},
		"done, move kept":                {running, done, "v2", move("m1", "v2", later, false), "move.to"},
		"rolled back, removed":           {running, rolledBack, "v1", nil, ""},
		"rolled back, kept":              {running, rolledBack, "v1", move("m1", "v2", later, false), ""},
		"rolled back, version stated":    {running, rolledBack, "v2", nil, "version"},
		"rolled back, next move":         {running, rolledBack, "v1", move("m2", "v2", later, false), ""},
		"rolled back, same id once more": {nil, rolledBack, "v1", move("m1", "v2", later, false), "move.id"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			old := pondSection(t)
			old.Services[0].Move = test.old
			edit := pondSection(t)
			edit.Services[0].Version, edit.Services[0].Move = test.version, test.edit
			after, err := ApplyEdit(document(old), edit, "icemakers", now, test.outcomes)
			problems := Problems(err)
			if test.field != "" {
				if len(problems) == 0 || problems[0].Field != "services[sheetwatch]."+test.field {
					t.Errorf("got %v, want a problem of %s", err, test.field)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			accepted := after.Sections["pond"].Services[0].Move
			switch {
			case test.edit == nil:
			case test.old != nil && test.old.ID == test.edit.ID && !accepted.AcceptedAt.Equal(test.old.AcceptedAt):
				t.Errorf("the time of acceptance changed to %v", accepted.AcceptedAt)
			case (test.old == nil || test.old.ID != test.edit.ID) && !accepted.AcceptedAt.Equal(now):
				t.Errorf("accepted at %v, want %v", accepted.AcceptedAt, now)
			}
		})
	}
}

// Guards against the removal of a service whose move has no outcome.
func TestApplyEditRemovesService(t *testing.T) {
	old := pondSection(t)
	old.Services[0].Move = &Move{ID: "m1", To: "v2", FinishBy: now.Add(time.Hour)}
	edit := pondSection(t)
	edit.Services, edit.Routes = nil, nil
	if _, err := ApplyEditWithoutOutcomes(document(old), edit, "icemakers", now); len(Problems(err)) != 1 {
		t.Errorf("got %v, want one problem", err)
	}
	if _, err := ApplyEdit(document(old), edit, "icemakers", now, map[string]MoveResult{"m1": MoveRolledBack}); err != nil {
		t.Error(err)
	}
}

// Guards against an edit that modifies its base document, which may be in force.
func TestApplyEditDoesNotModifyInput(t *testing.T) {
	old := pondSection(t)
	before := document(old)
	edit := pondSection(t)
	edit.Services[0].Move = &Move{ID: "m1", To: "v2", FinishBy: now.Add(time.Hour)}
	if _, err := ApplyEditWithoutOutcomes(before, edit, "icemakers", now); err != nil {
		t.Fatal(err)
	}
	if before.Revision != 1 || before.Sections["pond"].Services[0].Move != nil || !edit.Services[0].Move.AcceptedAt.IsZero() {
		t.Errorf("before %+v, edit %+v", before, edit.Services[0].Move)
	}
}
