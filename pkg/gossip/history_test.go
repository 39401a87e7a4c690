package gossip

import (
	"bytes"
	"fmt"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/member"
)

// history records what a schedule did, for the checkers.
type history struct {
	accepted map[uint64]config.Head // by revision
	outputs  []output
	marks    []markSeen
}

// output is a revision that a process was handed or put in force.
type output struct {
	at       time.Duration
	instance string
	process  uint64 // incarnation
	revision Revision
	// excused is set if no process that keeps a floor of the instance could be
	// reached when the process established its floor (design section 10).
	excused bool
}

// markSeen is the mark of a move at a process.
type markSeen struct {
	process string
	mark    MoveState
}

// checkMonotonic fails if an instance goes back, also over restarts.
func checkMonotonic(h *history) error {
	highest := map[string]output{}
	for _, o := range h.outputs {
		last, ok := highest[o.instance]
		sameProcess := ok && last.process == o.process
		if ok && o.revision.Head.Revision < last.revision.Head.Revision && (sameProcess || !o.excused) {
			return fmt.Errorf("%v: %s goes back from revision %d (process %d) to %d (process %d)",
				o.at, o.instance, last.revision.Head.Revision, last.process, o.revision.Head.Revision, o.process)
		}
		highest[o.instance] = o
	}
	return nil
}

// checkComplete fails if a revision was handed out that was not accepted or that
// lacks a body or has a wrong one.
func checkComplete(h *history) error {
	for _, o := range h.outputs {
		want, ok := h.accepted[o.revision.Head.Revision]
		if !ok || !bytes.Equal(HeadDigest(want), HeadDigest(o.revision.Head)) {
			return fmt.Errorf("%s was handed a head of revision %d that was not accepted", o.instance, o.revision.Head.Revision)
		}
		for name, ref := range want.Sections {
			if body, ok := o.revision.Bodies[ref.Hash]; !ok || hashBody(body) != ref.Hash {
				return fmt.Errorf("%s was handed revision %d with a wrong body of section %s", o.instance, o.revision.Head.Revision, name)
			}
		}
	}
	return nil
}

// checkMarks fails if a mark loses anything at a process.
func checkMarks(h *history) error {
	last := map[string]MoveState{}
	for _, s := range h.marks {
		key := s.process + "/" + s.mark.Move
		before := last[key]
		if s.mark.Stage < before.Stage || before.RolledBack && !s.mark.RolledBack || before.Done && !s.mark.Done {
			return fmt.Errorf("%s: mark goes back from %+v to %+v", s.process, before, s.mark)
		}
		last[key] = s.mark
	}
	return nil
}

// view is the state of one process at the end of a schedule.
type view struct {
	instance  string
	revision  uint64
	inForce   uint64
	members   []member.Member
	markState uint64
}

// checkConverged fails if the live processes differ, lack the given revision, or
// list a live process as anything but alive.
func checkConverged(views []view, revision uint64) error {
	for _, v := range views {
		if v.revision != revision || v.inForce != revision {
			return fmt.Errorf("%s holds revision %d and has %d in force, want %d", v.instance, v.revision, v.inForce, revision)
		}
		if v.markState != views[0].markState {
			return fmt.Errorf("%s and %s have different marks", v.instance, views[0].instance)
		}
		alive := map[string]bool{}
		for _, m := range v.members {
			if m.State == member.Alive {
				alive[m.Instance] = true
			}
		}
		for _, other := range views {
			if !alive[other.instance] {
				return fmt.Errorf("%s does not list %s as alive: %+v", v.instance, other.instance, v.members)
			}
		}
		if len(alive) != len(views) {
			return fmt.Errorf("%s lists %d members as alive, want %d", v.instance, len(alive), len(views))
		}
	}
	return nil
}
