package config

import (
	"errors"
	"fmt"
	"strings"
)

// Problem is one validation error of a section or an edit. Several Problems are joined
// with errors.Join and listed again by Problems.
type Problem struct {
	Section string `json:"section"`
	// Field is the path of the field, such as services[orders].limits.slots.
	Field   string `json:"field"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// Forbidden means that the team lacks the permission for the edit, although the
	// section itself may be valid.
	Forbidden bool `json:"forbidden,omitempty"`
}

// Error returns a message with the section, the field, the fault and the remedy.
func (p Problem) Error() string {
	var b strings.Builder
	if p.Section != "" {
		fmt.Fprintf(&b, "section %s: ", p.Section)
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	b.WriteString(p.Message)
	if p.Remedy != "" {
		fmt.Fprintf(&b, "; %s", p.Remedy)
	}
	return b.String()
}

// Problems returns the Problems joined in err, in order. It returns nil if there are
// none.
func Problems(err error) []Problem {
	if err == nil {
		return nil
	}
	if p, ok := err.(Problem); ok {
		return []Problem{p}
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var all []Problem
		for _, e := range joined.Unwrap() {
			all = append(all, Problems(e)...)
		}
		return all
	}
	return Problems(errors.Unwrap(err))
}

// problemList collects the problems of one section.
type problemList struct {
	section string
	errs    []error
}

func (l *problemList) add(field, remedy, format string, args ...any) {
	l.errs = append(l.errs, Problem{Section: l.section, Field: field, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// addForbidden adds a problem about a missing permission of the team.
func (l *problemList) addForbidden(field, remedy, format string, args ...any) {
	l.errs = append(l.errs, Problem{Section: l.section, Field: field, Message: fmt.Sprintf(format, args...), Remedy: remedy, Forbidden: true})
}

func (l *problemList) err() error { return errors.Join(l.errs...) }

// fieldScope adds problems of one service or route. It builds the field path only when
// there is a problem, because every node checks every revision of the document.
type fieldScope struct {
	*problemList
	kind, name string // kind is empty for the section itself
}

func serviceScope(l *problemList, name string) fieldScope { return fieldScope{l, "services", name} }

func routeScope(l *problemList, name string) fieldScope { return fieldScope{l, "routes", name} }

func (e fieldScope) add(field, remedy, format string, args ...any) {
	if e.kind != "" {
		field = e.kind + "[" + e.name + "]." + field
	}
	e.problemList.add(field, remedy, format, args...)
}
