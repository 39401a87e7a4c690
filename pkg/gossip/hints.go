package gossip

import (
	"slices"
	"time"

	"corianderwood.example/corianderwood/pkg/member"
)

// AddHints adds addresses at which members may run, from the settings or from the member
// rows. Groups of nodes that started separately discover each other through them. Beyond
// MaxHints the oldest are removed.
func (s *State) AddHints(addrs []string) {
	for _, addr := range addrs {
		if !slices.Contains(s.hints, addr) {
			s.hints = append(s.hints, addr)
		}
	}
	if excess := len(s.hints) - MaxHints; excess > 0 {
		s.hints = slices.Delete(s.hints, 0, excess)
	}
}

// tickHint sends a digest to a random hint that belongs to no live member.
func (s *State) tickHint(now time.Time) {
	if now.Before(s.nextHint) || len(s.hints) == 0 {
		return
	}
	// Nodes that start together may form separate groups, so the interval is short at
	// first.
	s.hintWait = min(max(2*s.hintWait, MinHintInterval), HintInterval)
	first := s.nextHint.IsZero()
	s.nextHint = now.Add(time.Duration((0.5 + s.rnd.Float64()) * float64(s.hintWait)))
	if first {
		return
	}
	known := map[string]bool{s.table.Self().ControlAddr: true}
	for _, m := range s.table.Members() {
		known[m.ControlAddr] = known[m.ControlAddr] || m.State != member.Dead
	}
	unknown := slices.DeleteFunc(slices.Clone(s.hints), func(addr string) bool { return known[addr] })
	if len(unknown) > 0 {
		s.send(unknown[s.rnd.IntN(len(unknown))], Message{Digest: s.digest(false)})
	}
}
