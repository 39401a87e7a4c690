package gossip

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
)

// markSet holds the marks of all moves. Its digest is equal on nodes with equal marks.
type markSet struct {
	byMove map[string]MoveState
	digest uint64
	fresh  []MoveState // changed marks not handed out yet
}

// merge takes a mark over and reports whether it changed anything.
func (ms *markSet) merge(m MoveState) bool {
	old, ok := ms.byMove[m.Move]
	merged := m
	if ok {
		merged = old.Merge(m)
	}
	if m.Move == "" || ok && merged == old || !ok && len(ms.byMove) >= MaxMoveStates {
		return false
	}
	if ok {
		ms.digest ^= markHash(old)
	}
	ms.digest ^= markHash(merged)
	ms.byMove[m.Move] = merged
	return true
}

func markHash(m MoveState) uint64 {
	data, err := encMode.Marshal(m)
	if err != nil {
		panic(err) // plain strings and integers always encode
	}
	h := fnv.New64a()
	_, _ = h.Write(data)
	return h.Sum64()
}

// some returns at most n marks, random ones if there are more.
func (ms *markSet) some(rnd *rand.Rand, n int) []MoveState {
	names := slices.Sorted(maps.Keys(ms.byMove))
	if len(names) > n {
		rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:n]
	}
	out := make([]MoveState, len(names))
	for i, name := range names {
		out[i] = ms.byMove[name]
	}
	return out
}

// MergeMoveState merges a mark of this node and spreads it.
func (s *State) MergeMoveState(m MoveState) { s.mergeMarks([]MoveState{m}, "") }

// mergeMarks merges marks and spreads those that changed, except to their sender.
func (s *State) mergeMarks(marks []MoveState, from string) {
	var changed []string
	for _, m := range marks {
		if s.marks.merge(m) {
			changed = append(changed, m.Move)
			s.marks.fresh = append(s.marks.fresh, s.marks.byMove[m.Move])
		}
	}
	if len(changed) == 0 {
		return
	}
	for _, m := range s.choosePeers(AnnounceFanout) {
		if m.Instance == from {
			continue
		}
		p := s.peer(m.Instance, m.ControlAddr)
		for _, move := range changed {
			p.marks[move] = true
		}
	}
}

// ChangedMoveStates returns the marks that changed since the last call, as merged.
func (s *State) ChangedMoveStates() []MoveState {
	out := s.marks.fresh
	s.marks.fresh = nil
	return out
}

// MoveStates returns all marks by move name.
func (s *State) MoveStates() []MoveState { return s.marks.some(s.rnd, MaxMoveStates) }
