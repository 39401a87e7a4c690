package history

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"github.com/anishathalye/porcupine"
)

// ErrViolation means that a history violates the guarantees of the configuration store.
// Other errors of Check and Resolve mean that the check could not be completed.
var ErrViolation = errors.New("history: consistency violation")

// Check checks that a history is linearizable, first each section on its own, then the
// head with all sections. An edit with one operation id must take effect at most once, a
// conflict must report the current section revision, and a refused edit must have no
// effect. Edits with an unknown outcome must have been resolved by Resolve. timeout limits
// the check of each section and of the head. The error matches ErrViolation if the history
// is not linearizable.
func Check(history []Operation, timeout time.Duration) error {
	sections := map[string]bool{}
	sectionOf := map[string]string{} // section by operation id
	for _, o := range history {
		if o.Input.Kind == Edit {
			sections[o.Input.Section] = true
			sectionOf[o.Input.OperationID] = o.Input.Section
		}
	}
	names := make([]string, 0, len(sections)+1)
	for name := range sections {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, scope := range append(names, headScope) {
		if err := checkScope(history, sectionOf, scope, timeout); err != nil {
			return err
		}
	}
	return nil
}

// headScope is the scope that covers the head with all sections. Other scopes are section
// names.
const headScope = ""

// checkScope checks the operations that concern one scope. sectionOf maps operation ids to
// sections.
func checkScope(history []Operation, sectionOf map[string]string, scope string, timeout time.Duration) error {
	var scoped []porcupine.Operation
	for _, o := range history {
		if scope != headScope && o.Input.Kind == Edit && o.Input.Section != scope ||
			scope != headScope && o.Input.Kind == ReadOperation && sectionOf[o.Input.OperationID] != scope {
			continue
		}
		scoped = append(scoped, porcupine.Operation{ClientId: o.Client, Input: o.Input, Output: o.Output, Call: o.Call, Return: o.Return})
	}
	model := scopeModel{scope: scope}
	result := porcupine.CheckOperationsTimeout(porcupine.Model{
		Init: func() any { return state{} },
		Step: func(s, in, out any) (bool, any) { return model.step(s.(state), in.(Input), out.(Output)) },
	}, scoped, timeout)
	if result != porcupine.Ok {
		name := "the head"
		if scope != headScope {
			name = "section " + scope
		}
		if result == porcupine.Unknown {
			return fmt.Errorf("history: checking %d operations of %s did not finish within %v", len(scoped), name, timeout)
		}
		return fmt.Errorf("%w: %d operations of %s are not linearizable", ErrViolation, len(scoped), name)
	}
	return nil
}

// state is the state of the modeled store. refs and applied are encoded as strings because
// porcupine compares states with == by default.
type state struct {
	revision uint64 // of the head; ignored in the scope of one section
	refs     string // section references, encoded by formatRef and sorted by name
	applied  string // applied edits, encoded by formatApplied, in order of application
}

// scopeModel is the sequential model of one scope.
type scopeModel struct{ scope string }

// step applies an operation to a state. It returns whether the output is possible in this
// state, and the next state.
func (m scopeModel) step(s state, in Input, out Output) (bool, any) {
	switch in.Kind {
	case ReadHead:
		return m.headRefs(out.Head) == s.refs && (m.scope != headScope || out.Head.Revision == s.revision), s
	case ReadOperation:
		if !out.Found {
			return !s.isApplied(in.OperationID), s
		}
		return strings.Contains(s.applied, formatApplied(in.OperationID, out)), s
	}
	return m.edit(s, in, out)
}

func (m scopeModel) edit(s state, in Input, out Output) (bool, any) {
	applied, current := s.isApplied(in.OperationID), s.sectionRevision(in.Section)
	switch out.Outcome {
	case Accepted:
		if applied {
			return strings.Contains(s.applied, formatApplied(in.OperationID, out)), s
		}
		possible := current == in.BaseRevision && out.SectionRevision == in.BaseRevision+1 && (m.scope != headScope || out.Revision == s.revision+1)
		return possible, s.apply(in, out)
	case Conflict:
		return !applied && current == out.CurrentRevision && out.CurrentRevision != in.BaseRevision, s
	case Refused:
		return true, s
	default: // an unknown outcome that was not resolved by Resolve
		return false, s
	}
}

// apply returns the state after an accepted edit.
func (s state) apply(in Input, out Output) state {
	refs := []string{formatRef(in.Section, config.SectionRef{Hash: out.Hash, Revision: out.SectionRevision})}
	for line := range strings.Lines(s.refs) {
		if !strings.HasPrefix(line, in.Section+" ") {
			refs = append(refs, line)
		}
	}
	slices.Sort(refs)
	return state{revision: s.revision + 1, refs: strings.Join(refs, ""), applied: s.applied + formatApplied(in.OperationID, out)}
}

func (s state) isApplied(operation string) bool {
	return strings.Contains(s.applied, "\n"+operation+" ")
}

// sectionRevision returns the revision of a section, or 0 if the section does not exist.
func (s state) sectionRevision(name string) uint64 {
	for line := range strings.Lines(s.refs) {
		var revision uint64
		var hash string
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			if _, err := fmt.Sscan(rest, &revision, &hash); err == nil {
				return revision
			}
		}
	}
	return 0
}

// formatRef encodes the reference to a section as one line.
func formatRef(name string, ref config.SectionRef) string {
	return fmt.Sprintf("%s %d %s\n", name, ref.Revision, ref.Hash)
}

// formatApplied encodes an applied edit. The line breaks on both sides keep a search for
// one operation id from matching part of another.
func formatApplied(operation string, out Output) string {
	return fmt.Sprintf("\n%s %d %d %s\n", operation, out.Revision, out.SectionRevision, out.Hash)
}

// headRefs returns the section references of a head that belong to the scope, encoded as
// in state.refs.
func (m scopeModel) headRefs(h config.Head) string {
	var lines []string
	for name, ref := range h.Sections {
		if m.scope == headScope || name == m.scope {
			lines = append(lines, formatRef(name, ref))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}
