package config

import (
	"bytes"
	"errors"
	"maps"
	"time"
)

// ApplyEditWithoutOutcomes is ApplyEdit for a document whose moves have no outcomes
// yet.
func ApplyEditWithoutOutcomes(before Document, edit Section, team string, now time.Time) (Document, error) {
	return ApplyEdit(before, edit, team, now, nil)
}

// ApplyEdit applies a team's edit of one section to a document and validates the
// resulting document. outcomes holds the recorded results of the moves that MoveIDs
// returns for the section before and after the edit. The returned document has the next
// revision, and its new moves have now as their time of acceptance. Errors are
// Problems, joined.
func ApplyEdit(before Document, edit Section, team string, now time.Time, outcomes map[string]MoveResult) (Document, error) {
	edit = canonical(edit)
	l := problemList{section: edit.Name}
	old, exists := before.Sections[edit.Name]
	checkPermission(&l, old, exists, edit, team)
	if len(l.errs) > 0 {
		return Document{}, l.err()
	}
	e := moveEdit{list: &l, now: now, outcomes: outcomes}
	e.check(old, edit)
	after := Document{Revision: before.Revision + 1, Sections: maps.Clone(before.Sections)}
	if after.Sections == nil {
		after.Sections = map[string]Section{}
	}
	after.Sections[edit.Name] = edit
	if err := errors.Join(l.err(), Check(after)); err != nil {
		return Document{}, err
	}
	body, err := EncodeSection(edit)
	if err != nil {
		return Document{}, err
	}
	if len(body) > MaxSectionBytes {
		l.add("", "split the section", "the section has %d bytes, more than %d", len(body), MaxSectionBytes)
	}
	return after, l.err()
}

// checkPermission checks that the team may make the edit. A team may edit its own
// section but not assign it to another team. Team admin may create a section, edit its
// own ones, or assign a section of another team without any other change.
func checkPermission(l *problemList, old Section, exists bool, edit Section, team string) {
	switch {
	case !exists:
		if team != AdminTeam {
			l.addForbidden("name", "ask team "+AdminTeam+" to create it", "section %q does not exist and team %q may not create it", edit.Name, team)
		}
	case team == AdminTeam && old.Team != AdminTeam:
		reassigned := edit
		reassigned.Team = old.Team
		if !equalSections(reassigned, old) {
			l.addForbidden("team", "let team "+old.Team+" make the edit, or change only the field team",
				"the section belongs to team %q", old.Team)
		}
	case team != old.Team:
		l.addForbidden("team", "let team "+old.Team+" make the edit", "the section belongs to team %q, not to team %q", old.Team, team)
	case edit.Team != old.Team && team != AdminTeam:
		l.addForbidden("team", "ask team "+AdminTeam+" to assign the section", "team %q may not give the section to team %q", team, edit.Team)
	}
}

func equalSections(a, b Section) bool {
	left, errLeft := EncodeSection(a)
	right, errRight := EncodeSection(b)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}
