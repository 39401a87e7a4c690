package config

import (
	"bytes"
	"errors"
	"maps"
	"time"
)

// CheckEdit applies the edit of one section by a team to a document, for which no
// move has an outcome yet, and checks the result. See CheckEditAfter.
func CheckEdit(before Document, edit Section, team string, now time.Time) (Document, error) {
	return ApplyEdit(before, edit, team, now, nil)
}

// ApplyEdit applies the edit of one section by a team to a document and checks
// the result as a whole. Outcomes holds the results recorded for the moves named by
// MoveIDs of the section before and after. The returned document has the next
// revision, and its new moves carry now as the time of acceptance. Errors are
// Problems, joined.
func ApplyEdit(before Document, edit Section, team string, now time.Time, outcomes map[string]MoveResult) (Document, error) {
	edit = canonical(edit)
	l := problemList{section: edit.Name}
	old, exists := before.Sections[edit.Name]
	checkRight(&l, old, exists, edit, team)
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

// checkRight checks that the team may make the edit: its own section, or as admin
// the creation of a section or its assignment to another team without other change.
func checkRight(l *problemList, old Section, exists bool, edit Section, team string) {
	switch {
	case !exists:
		if team != AdminTeam {
			l.forbid("name", "ask team "+AdminTeam+" to create it", "section %q does not exist and team %q may not create it", edit.Name, team)
		}
	case team == AdminTeam && old.Team != AdminTeam:
		reassigned := edit
		reassigned.Team = old.Team
		if !equalSections(reassigned, old) {
			l.forbid("team", "let team "+old.Team+" make the edit, or change only the field team",
				"the section belongs to team %q", old.Team)
		}
	case team != old.Team:
		l.forbid("team", "let team "+old.Team+" make the edit", "the section belongs to team %q, not to team %q", old.Team, team)
	case edit.Team != old.Team && team != AdminTeam:
		l.forbid("team", "ask team "+AdminTeam+" to assign the section", "team %q may not give the section to team %q", team, edit.Team)
	}
}

func equalSections(a, b Section) bool {
	left, errLeft := EncodeSection(a)
	right, errRight := EncodeSection(b)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}
