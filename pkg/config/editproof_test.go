package config

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// editModel is a document with the outcomes of its moves. Its rules are an independent
// implementation of the specification, not derived from the code under test.
type editModel struct {
	doc      Document
	outcomes map[string]MoveResult
	now      time.Time
	used     map[string]bool // ids of all moves that were ever accepted
}

// step applies one random edit of one service, mostly close to a valid one.
func (w *editModel) step(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "minutes")) * time.Minute)
	old := w.doc.Sections["pond"].Services[0]
	if old.Move != nil && w.outcomes[old.Move.ID] == "" && rapid.IntRange(0, 3).Draw(t, "decide") == 0 {
		w.outcomes[old.Move.ID] = rapid.SampledFrom([]MoveResult{MoveDone, MoveRolledBack}).Draw(t, "outcome")
	}
	edit := CloneSection(w.doc.Sections["pond"])
	s := &edit.Services[0]
	likely := old.Version
	if old.Move != nil && w.outcomes[old.Move.ID] == MoveDone {
		likely = old.Move.To
	}
	s.Version = rapid.SampledFrom([]string{likely, likely, likely, likely, "v1", "v2", "v3"}).Draw(t, "version")
	switch rapid.IntRange(0, 3).Draw(t, "move") {
	case 0:
		s.Move = nil
	case 1:
		s.Move = &Move{ID: fmt.Sprintf("m%d", rapid.IntRange(0, 9).Draw(t, "id")), To: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "to"),
			FinishBy: w.now.Add(time.Duration(rapid.IntRange(-1, 3).Draw(t, "hours")) * time.Hour), Withdraw: rapid.IntRange(0, 5).Draw(t, "new withdraw") == 0}
	case 2:
		if s.Move != nil {
			s.Move.Withdraw = rapid.Bool().Draw(t, "withdraw")
			s.Move.FinishBy = s.Move.FinishBy.Add(time.Duration(rapid.IntRange(-2, 2).Draw(t, "shift")) * time.Hour)
			s.Move.AcceptedAt = time.Time{}
		}
	}
	after, err := ApplyEdit(w.doc, edit, "icemakers", w.now, w.outcomes)
	if err != nil {
		return
	}
	if err := w.violation(old, after.Sections["pond"].Services[0]); err != nil {
		t.Fatal(err)
	}
	if m := after.Sections["pond"].Services[0].Move; m != nil {
		w.used[m.ID] = true
	}
	if Check(after) != nil || after.Revision != w.doc.Revision+1 {
		t.Fatalf("the accepted document %d is not valid", after.Revision)
	}
	w.doc = after
}

// violation returns an error for the rule that the change of a service violates, or
// nil.
func (w *editModel) violation(old, s Service) error {
	kept := old.Move != nil && s.Move != nil && old.Move.ID == s.Move.ID
	decided := old.Move != nil && w.outcomes[old.Move.ID] != ""
	want := old.Version
	if old.Move != nil && w.outcomes[old.Move.ID] == MoveDone {
		want = old.Move.To
	}
	switch {
	case s.Version != want:
		return fmt.Errorf("version %s after %s without a finished move", s.Version, old.Version)
	case old.Move != nil && !kept && !decided:
		return fmt.Errorf("move %s was removed without an outcome", old.Move.ID)
	case kept && (s.Move.To != old.Move.To || old.Move.Withdraw && !s.Move.Withdraw || !s.Move.AcceptedAt.Equal(old.Move.AcceptedAt)):
		return fmt.Errorf("move %+v became %+v", *old.Move, *s.Move)
	case s.Move != nil && !kept && (w.outcomes[s.Move.ID] != "" || s.Move.Withdraw || !s.Move.AcceptedAt.Equal(w.now)):
		return fmt.Errorf("new move %+v at %v, outcome %q", *s.Move, w.now, w.outcomes[s.Move.ID])
	case s.Move != nil && (!kept || !s.Move.FinishBy.Equal(old.Move.FinishBy)) && !s.Move.FinishBy.After(w.now):
		return fmt.Errorf("move %s must be finished by %v, which is past", s.Move.ID, s.Move.FinishBy)
	case s.Move != nil && s.Move.To == s.Version:
		return fmt.Errorf("the target of move %s is the version that serves the traffic", s.Move.ID)
	}
	return nil
}

// Guards against model rules that accept an invalid change.
func TestEditRulesRejectInvalidChanges(t *testing.T) {
	later := now.Add(time.Hour)
	running := Service{Version: "v1", Move: &Move{ID: "m1", To: "v2", FinishBy: later, AcceptedAt: now.Add(-time.Hour)}}
	changes := map[string]struct {
		outcome MoveResult // of m1
		old     Service
		change  func(s *Service, m *Move)
	}{
		"version skips the move": {"", running, func(s *Service, m *Move) { s.Version = "v3" }},
		"version after rollback": {MoveRolledBack, running, func(s *Service, m *Move) { s.Version, s.Move = "v2", nil }},
		"old version after done": {MoveDone, running, func(s *Service, m *Move) { s.Move = nil }},
		"move removed":           {"", running, func(s *Service, m *Move) { s.Move = nil }},
		"move replaced":          {"", running, func(s *Service, m *Move) { m.ID = "m2" }},
		"other target":           {"", running, func(s *Service, m *Move) { m.To = "v3" }},
		"accepted again":         {"", running, func(s *Service, m *Move) { m.AcceptedAt = now }},
		"finish in the past":     {"", running, func(s *Service, m *Move) { m.FinishBy = now }},
		"id used again":          {MoveDone, Service{Version: "v1"}, func(s *Service, m *Move) { m.AcceptedAt = now; s.Move = m }},
		"withdrawn when new":     {"", Service{Version: "v1"}, func(s *Service, m *Move) { m.AcceptedAt = now; m.Withdraw = true; s.Move = m }},
		"no time of acceptance":  {"", Service{Version: "v1"}, func(s *Service, m *Move) { s.Move = m }},
		"to the same version":    {"", Service{Version: "v2"}, func(s *Service, m *Move) { m.AcceptedAt = now; s.Move = m }},
	}
	for name, change := range changes {
		w := editModel{outcomes: map[string]MoveResult{"m1": change.outcome}, now: now}
		s, m := change.old, *running.Move
		if s.Move != nil {
			s.Move = &m
		}
		change.change(&s, &m)
		if w.violation(change.old, s) == nil {
			t.Errorf("%s: no rule is violated", name)
		}
	}
	if err := (&editModel{now: now}).violation(running, running); err != nil {
		t.Errorf("an unchanged service: %v", err)
	}
}

// Guards against a sequence of edits that bypasses a move, loses one without an outcome
// or undoes one, although each edit passes the checks.
func TestProofEditsKeepMoveRules(t *testing.T) {
	moves, done := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		w := editModel{doc: document(pondSection(t)), outcomes: map[string]MoveResult{}, now: now, used: map[string]bool{}}
		for range 60 {
			w.step(rt)
		}
		moves += len(w.used)
		for id, result := range w.outcomes {
			if result == MoveDone && w.used[id] {
				done++
			}
		}
	})
	t.Logf("%d moves accepted, %d done", moves, done)
	if moves < 100 || done < 20 {
		t.Errorf("only %d moves were accepted and %d done; too few for a meaningful test", moves, done)
	}
}

// Guards against input that makes the parser panic, or that parses to a section whose
// canonical encoding parses to a different section.
func FuzzParseSection(f *testing.F) {
	f.Add([]byte(`{"name":"a","team":"b","services":[{"name":"s","version":"1","move":{"id":"m","to":"2","finish_by":"2026-12-04T10:00:00+13:00"}}],"routes":[{"name":"r"}]}`))
	f.Add([]byte(`{"a":[{},{"b":null}],"c":{"d":[[]]}}`))
	f.Add([]byte(`{"name":"\u2028<>&","services":null,"routes":[{"methods":["B","A"]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSection(data)
		if err != nil {
			if len(Problems(err)) == 0 {
				t.Errorf("%v is not a Problem", err)
			}
			return
		}
		body, err := EncodeSection(s)
		if err != nil {
			return // a year that JSON cannot write
		}
		if again, err := ParseSection(body); err != nil || !equalSections(again, s) {
			t.Errorf("%s: %v", body, err)
		}
	})
}
