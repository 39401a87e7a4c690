package gossip

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
)

// moveStateSet holds the states of all moves. Its digest is equal on nodes with equal
// states.
type moveStateSet struct {
	byMove map[string]MoveState
	digest uint64
	fresh  []MoveState // changed states not yet returned by ChangedMoveStates
}

// merge merges a move state into the set and reports whether the set changed.
func (ms *moveStateSet) merge(m MoveState) bool {
	old, ok := ms.byMove[m.Move]
	merged := m
	if ok {
		merged = old.Merge(m)
	}
	if m.Move == "" || ok && merged == old || !ok && len(ms.byMove) >= MaxMoveStates {
		return false
	}
	if ok {
		ms.digest ^= moveStateHash(old)
	}
	ms.digest ^= moveStateHash(merged)
	ms.byMove[m.Move] = merged
	return true
}

func moveStateHash(m MoveState) uint64 {
	data, err := encMode.Marshal(m)
	if err != nil {
		panic(err) // plain strings and integers always encode
	}
	h := fnv.New64a()
	_, _ = h.Write(data)
	return h.Sum64()
}

// sample returns all move states, or n random ones if there are more.
func (ms *moveStateSet) sample(rnd *rand.Rand, n int) []MoveState {
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

// MergeMoveState merges a move state that this node decided and spreads it.
func (s *State) MergeMoveState(m MoveState) { s.mergeMoveStates([]MoveState{m}, "") }

// mergeMoveStates merges move states and schedules those that changed for random peers
// other than the instance they came from.
func (s *State) mergeMoveStates(states []MoveState, from string) {
	var changed []string
	for _, m := range states {
		if s.moveStates.merge(m) {
			changed = append(changed, m.Move)
			s.moveStates.fresh = append(s.moveStates.fresh, s.moveStates.byMove[m.Move])
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
			p.moveStates[move] = true
		}
	}
}

// ChangedMoveStates returns the merged move states that changed since the last call.
func (s *State) ChangedMoveStates() []MoveState {
	out := s.moveStates.fresh
	s.moveStates.fresh = nil
	return out
}

// MoveStates returns the states of all moves by move name.
func (s *State) MoveStates() []MoveState { return s.moveStates.sample(s.rnd, MaxMoveStates) }
