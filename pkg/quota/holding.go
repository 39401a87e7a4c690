package quota

// holding is what one process of a node holds of an account, as the coordinator knows it. It is
// never less than what the process holds.
type holding struct {
	grants []grantRecord
	// wanted is the number of tokens that the process lacked at wantedAt.
	wanted   int
	wantedAt Time
}

func (h *holding) tokens() int {
	sum := 0
	for _, g := range h.grants {
		sum += g.tokens
	}
	return sum
}

// confirm replaces the grants up to a number by the tokens that the process has left of them,
// held and returned. It returns how many of the returned tokens may be granted again.
func (h *holding) confirm(received uint64, held, returned int) int {
	held, returned = max(held, 0), max(returned, 0)
	kept, merged := h.grants[:0], grantRecord{number: received}
	for _, g := range h.grants {
		if g.number > received {
			kept = append(kept, g)
			continue
		}
		merged.tokens += g.tokens
		merged.expires = max(merged.expires, g.expires)
	}
	back := min(returned, max(merged.tokens-held, 0))
	merged.tokens = min(merged.tokens, held)
	if merged.tokens > 0 {
		kept = append(kept, merged)
	}
	h.grants = kept
	return back
}

// purge removes expired tokens.
func (h *holding) purge(now Time) {
	kept := h.grants[:0]
	for _, g := range h.grants {
		if g.expires > now {
			kept = append(kept, g)
		}
	}
	h.grants = kept
}
