package gossip

import (
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/member"
	"pgregory.net/rapid"
)

// fault applies one random event of a schedule.
func (w *simulation) fault(t *rapid.T) {
	slot := rapid.IntRange(0, len(w.procs)-1).Draw(t, "slot")
	p := w.procs[slot]
	switch rapid.SampledFrom([]string{"edit", "edit", "kill", "kill", "launch", "pause", "resume", "region", "split",
		"heal", "loss", "corrupt", "platform down", "platform up", "mark", "drain"}).Draw(t, "event") {
	case "edit":
		w.edit(slot)
	case "kill":
		w.procs[slot] = nil
	case "launch":
		w.launch(slot)
	case "pause":
		if p != nil {
			p.paused = true
		}
	case "resume":
		if p != nil {
			p.paused = false
		}
	case "region":
		for i := range w.side {
			w.side[i] = i % 2
		}
	case "split":
		for i := range w.side {
			w.side[i] = rapid.IntRange(0, 2).Draw(t, "side")
		}
	case "heal":
		clear(w.side)
		w.loss, w.corrupt = 0, 0
	case "loss":
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
	case "corrupt":
		w.corrupt = 0.3
	case "platform down":
		w.platform = false
	case "platform up":
		w.platform = true
	case "mark":
		if p != nil {
			p.state.MergeMoveState(MoveState{Move: "m", Stage: uint8(rapid.IntRange(0, 5).Draw(t, "stage")), RolledBack: rapid.Bool().Draw(t, "back")})
		}
	case "drain":
		if p != nil {
			w.send(slot, p.state.UpdateSelf(w.now, func(m *member.Member) { m.Upstream.Draining = !m.Upstream.Draining }))
		}
	}
}

// Guards, over random schedules of kills, restarts, pauses, partitions, lost, reordered
// and corrupted messages and platform outages, against: an instance that puts an older
// revision in force, also after a restart; a delivered revision that is incomplete or
// wrong; a move state that loses information; a node that does not converge or stays
// listed as dead after the faults end.
func TestProofRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(7, 13).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		w.run(3 * time.Second)
		for range rapid.IntRange(5, 40).Draw(t, "events") {
			w.fault(t)
			w.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "ticks")) * TickInterval)
		}
		w.heal()
		w.run(30 * time.Second) // establishes minimum revisions from peers only, if the platform is down
		w.platform = true
		w.run(150 * time.Second)
		if w.err != nil {
			t.Fatal(w.err)
		}
		if err := checkConverged(w.views(), w.head.Revision); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a revision that does not spread without the platform: while the platform
// is down, a revision that any live node holds must reach all others within 12 s after
// the end of the faults.
func TestProofSpreadsWithoutPlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(7, 13).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		w.run(5 * time.Second)
		w.edit(0)
		w.run(10 * time.Second)
		w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
		w.edit(rapid.IntRange(0, len(w.procs)-1).Draw(t, "editor"))
		w.platform = false
		w.run(time.Duration(rapid.IntRange(0, 10).Draw(t, "ticks")) * TickInterval)
		down := rapid.IntRange(0, len(w.procs)-1).Draw(t, "killed")
		w.procs[down] = nil
		w.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "ticks")) * TickInterval)
		w.heal()
		before := w.newestHeld()
		w.run(12 * time.Second)
		if w.err != nil {
			t.Fatal(w.err)
		}
		// Messages in transit at the end of the faults may have delivered a newer one.
		want := w.newestHeld()
		if want < before {
			t.Fatalf("revision %d is lost", before)
		}
		if err := checkConverged(w.views(), want); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a minimum revision that is lost when its instance restarts: a node puts
// a revision in force that no other node holds, and is restarted while the platform is
// down and one other node, possibly a replica, is dead. It must not serve an older
// revision afterwards.
func TestProofMinRevisionSurvivesRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(7, 13).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		w.run(4 * time.Second)
		w.edit(0)
		w.run(8 * time.Second)
		w.loss = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "loss")
		w.dropRevisions = true
		slot := rapid.IntRange(0, len(w.procs)-1).Draw(t, "slot")
		w.edit(slot)
		w.platform = false
		for i := 0; i < 30 && w.procs[slot].inForce < w.head.Revision; i++ {
			w.step()
		}
		if w.procs[slot].inForce != w.head.Revision {
			t.Fatalf("revision %d is not in force at its editor", w.head.Revision)
		}
		w.procs[slot] = nil
		killed := (slot + 1 + rapid.IntRange(0, len(w.procs)-2).Draw(t, "killed")) % len(w.procs)
		w.procs[killed] = nil
		w.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "ticks")) * TickInterval)
		w.dropRevisions = false
		w.launch(slot)
		w.run(20 * time.Second)
		if w.err != nil {
			t.Fatal(w.err)
		}
		if p := w.procs[slot]; p.inForce != 0 && p.inForce < w.highest[slot] {
			t.Fatalf("revision %d is in force after %d", p.inForce, w.highest[slot])
		}
		if minRevision, ok := w.procs[slot].state.MinRevision(); !ok || minRevision != w.highest[slot] {
			t.Fatalf("minimum revision %d, established %v, want %d", minRevision, ok, w.highest[slot])
		}
	})
}

// Guards against check functions that accept incorrect histories.
func TestProofCheckersRejectBrokenHistories(t *testing.T) {
	h1, b1 := testHead(1, "a")
	h2, b2 := testHead(2, "a")
	accepted := map[uint64]config.Head{1: h1, 2: h2}
	r1, r2 := Revision{h1, b1}, Revision{h2, b2}
	broken := Revision{h2, map[string][]byte{h2.Sections["a"].Hash: []byte("other")}}
	foreign := r2
	foreign.Head, _ = testHead(2, "b")
	good := &history{
		accepted: accepted, outputs: []output{{instance: "i", process: 1, revision: r1}, {instance: "i", process: 2, revision: r2}},
		moveStates: []seenMoveState{{"p", MoveState{Move: "m", Stage: 1}}, {"p", MoveState{Move: "m", Stage: 1, RolledBack: true}}},
	}
	for _, check := range []func(*history) error{checkMonotonic, checkComplete, checkMoveStates} {
		if err := check(good); err != nil {
			t.Errorf("good history rejected: %v", err)
		}
	}
	for name, c := range map[string]struct {
		check func(*history) error
		h     history
	}{
		"back over a restart": {checkMonotonic, history{outputs: []output{{instance: "i", process: 1, revision: r2}, {instance: "i", process: 2, revision: r1}}}},
		"back in one process": {checkMonotonic, history{outputs: []output{{instance: "i", revision: r2, minRevisionUnreachable: true}, {instance: "i", revision: r1, minRevisionUnreachable: true}}}},
		"wrong body":          {checkComplete, history{accepted: accepted, outputs: []output{{revision: broken}}}},
		"missing body":        {checkComplete, history{accepted: accepted, outputs: []output{{revision: Revision{Head: h2}}}}},
		"head not accepted":   {checkComplete, history{accepted: accepted, outputs: []output{{revision: foreign}}}},
		"roll-back unset":     {checkMoveStates, history{moveStates: []seenMoveState{{"p", MoveState{RolledBack: true}}, {"p", MoveState{}}}}},
		"stage falls":         {checkMoveStates, history{moveStates: []seenMoveState{{"p", MoveState{Stage: 2}}, {"p", MoveState{Stage: 1}}}}},
	} {
		if c.check(&c.h) == nil {
			t.Errorf("%s: broken history accepted", name)
		}
	}
	a, b := member.Member{Instance: "a"}, member.Member{Instance: "b"}
	dead := b
	dead.State = member.Dead
	v := func(change func(*view)) []view {
		second := view{"b", 2, 2, []member.Member{a, b}, 7}
		change(&second)
		return []view{{"a", 2, 2, []member.Member{a, b}, 7}, second}
	}
	if err := checkConverged(v(func(*view) {}), 2); err != nil {
		t.Errorf("good views rejected: %v", err)
	}
	for name, change := range map[string]func(*view){
		"old revision": func(v *view) { v.revision = 1 },
		"not in force": func(v *view) { v.inForce = 1 },
		"other states": func(v *view) { v.moveStates = 8 },
		"listed dead":  func(v *view) { v.members = []member.Member{a, dead} },
		"extra member": func(v *view) { v.members = append(v.members, member.Member{Instance: "c"}) },
	} {
		if checkConverged(v(change), 2) == nil {
			t.Errorf("%s: broken views accepted", name)
		}
	}
}

// Guards against a merge of move states that depends on the order or number of messages.
func TestProofMoveStateMerge(t *testing.T) {
	state := rapid.Custom(func(t *rapid.T) MoveState {
		return MoveState{
			Move: "m", Stage: uint8(rapid.IntRange(0, 5).Draw(t, "stage")), RolledBack: rapid.Bool().Draw(t, "back"),
			Reason: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "reason"), Done: rapid.Bool().Draw(t, "done"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := state.Draw(t, "a"), state.Draw(t, "b"), state.Draw(t, "c")
		ab := a.Merge(b)
		if ab != b.Merge(a) || ab.Merge(c) != a.Merge(b.Merge(c)) || a.Merge(a) != a || ab.Merge(a) != ab {
			t.Fatalf("merge of %+v, %+v, %+v depends on the order", a, b, c)
		}
		if (a.RolledBack || b.RolledBack) && !ab.RolledBack || ab.Stage < max(a.Stage, b.Stage) {
			t.Fatalf("merge of %+v and %+v loses state: %+v", a, b, ab)
		}
	})
}
