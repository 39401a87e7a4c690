package gossip

import (
	"bytes"
	"fmt"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/member"
)

// history records the results of a schedule for the check functions.
type history struct {
	accepted   map[uint64]config.Head // by revision
	outputs    []output
	moveStates []seenMoveState
}

// output is a revision that a process put in force.
type output struct {
	at       time.Duration
	instance string
	process  uint64 // incarnation
	revision Revision
	// minRevisionUnreachable is set if no process with the latest minimum revision of the
	// instance was reachable when the process established its minimum revision; the
	// instance may then go back to an older revision (design section 10).
	minRevisionUnreachable bool
}

// seenMoveState is the state of a move at a process.
type seenMoveState struct {
	process string
	state   MoveState
}

// checkMonotonic fails if an instance puts an older revision in force, also after a
// restart.
func checkMonotonic(h *history) error {
	highest := map[string]output{}
	for _, o := range h.outputs {
		last, ok := highest[o.instance]
		sameProcess := ok && last.process == o.process
		if ok && o.revision.Head.Revision < last.revision.Head.Revision && (sameProcess || !o.minRevisionUnreachable) {
			return fmt.Errorf("%v: %s reverts from revision %d (process %d) to %d (process %d)",
				o.at, o.instance, last.revision.Head.Revision, last.process, o.revision.Head.Revision, o.process)
		}
		highest[o.instance] = o
	}
	return nil
}

// checkComplete fails if a revision was delivered that was not accepted, that lacks a
// body, or that has a wrong body.
func checkComplete(h *history) error {
	for _, o := range h.outputs {
		want, ok := h.accepted[o.revision.Head.Revision]
		if !ok || !bytes.Equal(HeadDigest(want), HeadDigest(o.revision.Head)) {
			return fmt.Errorf("%s received a head of revision %d that was not accepted", o.instance, o.revision.Head.Revision)
		}
		for name, ref := range want.Sections {
			if body, ok := o.revision.Bodies[ref.Hash]; !ok || hashBody(body) != ref.Hash {
				return fmt.Errorf("%s received revision %d with a missing or wrong body of section %s", o.instance, o.revision.Head.Revision, name)
			}
		}
	}
	return nil
}

// checkMoveStates fails if a move state at a process loses a stage, a roll-back or its
// completion.
func checkMoveStates(h *history) error {
	last := map[string]MoveState{}
	for _, s := range h.moveStates {
		key := s.process + "/" + s.state.Move
		before := last[key]
		if s.state.Stage < before.Stage || before.RolledBack && !s.state.RolledBack || before.Done && !s.state.Done {
			return fmt.Errorf("%s: move state reverts from %+v to %+v", s.process, before, s.state)
		}
		last[key] = s.state
	}
	return nil
}

// view is the state of one process as checkConverged compares it.
type view struct {
	instance   string
	revision   uint64
	inForce    uint64
	members    []member.Member
	moveStates uint64
}

// checkConverged fails if the live processes differ in their move states, do not have the
// given revision in force, or do not list exactly the live processes as alive.
func checkConverged(views []view, revision uint64) error {
	for _, v := range views {
		if v.revision != revision || v.inForce != revision {
			return fmt.Errorf("%s holds revision %d and has %d in force, want %d", v.instance, v.revision, v.inForce, revision)
		}
		if v.moveStates != views[0].moveStates {
			return fmt.Errorf("%s and %s have different move states", v.instance, views[0].instance)
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
